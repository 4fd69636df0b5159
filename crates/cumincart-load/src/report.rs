//! What an experiment found: named measures, each beside its baseline.

use {
    crate::{
        plot::{Plot, PlotError},
        summary::Summary,
    },
    serde::Serialize,
    std::{fmt, path::Path},
};

/// The result of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: &'static str,
    /// The deployment whose sizes and lists it used.
    pub deployment: &'static str,
    /// The seed of its arrivals and choices.
    pub seed: u64,
    /// What was measured.
    pub measures: Vec<Measure>,
    /// The numbers behind the measures.
    pub runs: Vec<NamedSummary>,
    /// The curves to draw.
    #[serde(skip)]
    pub plots: Vec<NamedPlot>,
}

/// One measure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measure {
    /// Its name.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// What the system reached.
    pub value: f64,
    /// What was reached without it, in the same run; absent where nothing compares.
    pub baseline: Option<Baseline>,
    /// How many requests or trials it rests on.
    pub samples: u64,
}

/// The way without the system, and what it reached.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Baseline {
    /// What was done instead.
    pub way: &'static str,
    /// What that reached.
    pub value: f64,
}

/// The numbers of one part of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct NamedSummary {
    /// The part.
    pub name: String,
    /// Its numbers.
    pub summary: Summary,
}

/// A plot and its file name without the ending.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedPlot {
    /// The file name.
    pub file: &'static str,
    /// The plot.
    pub plot: Plot,
}

/// A report could not be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ReportError {
    /// The operating system refused.
    #[error("the report can't be written: {0}")]
    #[diagnostic(code(cumincart::load::report), help("check that the folder can be written to"))]
    Io(#[from] std::io::Error),
    /// A plot failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] PlotError),
}

impl Report {
    /// A report without measures yet.
    pub fn new(experiment: &'static str, deployment: &'static str, seed: u64) -> Self {
        Self { experiment, deployment, seed, measures: Vec::new(), runs: Vec::new(), plots: Vec::new() }
    }

    /// Adds a measure.
    pub fn add_measure(
        &mut self,
        name: impl Into<String>,
        unit: &'static str,
        value: f64,
        baseline: Option<Baseline>,
        samples: u64,
    ) {
        self.measures.push(Measure { name: name.into(), unit, value, baseline, samples });
    }

    /// Writes `<experiment>-<deployment>-<seed>.json` and the plots into a folder, which is made where it is missing.
    pub fn write(&self, folder: &Path) -> Result<(), ReportError> {
        std::fs::create_dir_all(folder)?;
        let stem = format!("{}-{}-{}", self.experiment, self.deployment, self.seed);
        let json = serde_json::to_vec_pretty(self).map_err(std::io::Error::from)?;
        std::fs::write(folder.join(format!("{stem}.json")), json)?;
        for NamedPlot { file, plot } in &self.plots {
            plot.write(&folder.join(format!("{stem}-{file}.svg")))?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} ({}, seed {})", self.experiment, self.deployment, self.seed)?;
        for measure in &self.measures {
            write!(f, "  {}: {:.3} {}", measure.name, measure.value, measure.unit)?;
            if let Some(Baseline { way, value }) = &measure.baseline {
                write!(f, "  (baseline, {way}: {value:.3} {})", measure.unit)?;
            }
            writeln!(f, "  [{} samples]", measure.samples)?;
        }
        Ok(())
    }
}
