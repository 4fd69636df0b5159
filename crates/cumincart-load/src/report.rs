//! The report of an experiment: named measures, each with its baseline.

use {
    crate::{
        plot::{Plot, PlotError},
        summary::Summary,
    },
    serde::Serialize,
    std::{fmt, path::Path},
};

/// The report of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: &'static str,
    /// The deployment whose sizes and lists were used.
    pub deployment: &'static str,
    /// The seed of the arrivals and random choices.
    pub seed: u64,
    /// The measures.
    pub measures: Vec<Measure>,
    /// The summaries of the runs that the measures are based on.
    pub runs: Vec<NamedSummary>,
    /// The plots.
    #[serde(skip)]
    pub plots: Vec<NamedPlot>,
}

/// One measure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measure {
    /// The name.
    pub name: String,
    /// The unit.
    pub unit: &'static str,
    /// The value with the system.
    pub value: f64,
    /// The value without the system, measured in the same experiment; absent if there is nothing to compare with.
    pub baseline: Option<Baseline>,
    /// The number of requests or trials that the value is based on.
    pub samples: u64,
}

/// The value of a measure without the system.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Baseline {
    /// The method that was used instead of the system.
    pub way: &'static str,
    /// The value with this method.
    pub value: f64,
}

/// The summary of one part of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct NamedSummary {
    /// The name of the part.
    pub name: String,
    /// The summary.
    pub summary: Summary,
}

/// A plot and its file name.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedPlot {
    /// The last part of the file name, without the extension.
    pub file: &'static str,
    /// The plot.
    pub plot: Plot,
}

/// The error of writing a report.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ReportError {
    /// The folder or a file could not be written.
    #[error("the report can't be written: {0}")]
    #[diagnostic(code(cumincart::load::report), help("check that the folder can be written to"))]
    Io(#[from] std::io::Error),
    /// A plot could not be written.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] PlotError),
}

impl Report {
    /// Creates a report without measures.
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

    /// Writes `<experiment>-<deployment>-<seed>.json` and the plots into a folder, which is created if it is missing.
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
