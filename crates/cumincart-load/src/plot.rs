//! Line plots as SVG files.

use {
    plotters::prelude::{
        BLACK, ChartBuilder, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend,
        SeriesLabelPosition, WHITE,
    },
    std::path::Path,
};

const WIDTH: u32 = 1000;
const HEIGHT: u32 = 560;
const FONT: &str = "sans-serif";
const TITLE_SIZE: u32 = 24;
const LABEL_SIZE: u32 = 18;

/// Colours that readers with a colour vision deficiency can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 114, 178), RGBColor(213, 94, 0), RGBColor(0, 158, 115), RGBColor(204, 121, 167)];

/// A point of a curve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The value on the horizontal axis.
    pub x: f64,
    /// The value on the vertical axis.
    pub y: f64,
}

/// A named curve.
#[derive(Debug, Clone, PartialEq)]
pub struct Curve {
    /// The name in the legend.
    pub name: String,
    /// The points in ascending order of `x`.
    pub points: Vec<Point>,
}

/// A plot of one or more curves.
#[derive(Debug, Clone, PartialEq)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// The label of the horizontal axis, with the unit.
    pub x_label: String,
    /// The label of the vertical axis, with the unit.
    pub y_label: String,
    /// The curves.
    pub curves: Vec<Curve>,
}

/// The error of drawing or writing a plot.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the plot can't be written: {0}")]
#[diagnostic(code(cumincart::load::plot), help("check that the folder exists and can be written to"))]
pub struct PlotError(String);

impl Plot {
    /// Writes the plot to an SVG file, with a legend in the upper right corner.
    pub fn write(&self, path: &Path) -> Result<(), PlotError> {
        self.draw(path).map_err(|error| PlotError(error.to_string()))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, (FONT, TITLE_SIZE))
            .margin(16)
            .x_label_area_size(56)
            .y_label_area_size(80)
            .build_cartesian_2d(
                0.0..self.greatest(|point| point.x),
                0.0..self.greatest(|point| point.y) * 1.25,
            )?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .label_style((FONT, LABEL_SIZE))
            .draw()?;
        for (curve, colour) in self.curves.iter().zip(COLOURS.into_iter().cycle()) {
            let points = curve.points.iter().map(|point| (point.x, point.y));
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 24, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .legend_area_size(32)
            .label_font((FONT, LABEL_SIZE))
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the greatest value on an axis, or 1 if there is no positive one, since an axis needs a length above 0.
    fn greatest(&self, value: impl Fn(&Point) -> f64) -> f64 {
        let points = self.curves.iter().flat_map(|curve| &curve.points);
        let greatest = points.map(value).fold(0.0, f64::max);
        if greatest > 0.0 { greatest } else { 1.0 }
    }
}
