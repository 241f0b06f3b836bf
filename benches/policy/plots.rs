//! The figures of the crest and of the roll-out.

use crate::{deployment::Deployment, router::BenchRouter, world::World};
use plotters::prelude::*;

const SIZE: (u32, u32) = (800, 420);

struct PlotLine {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

fn draw(path: &str, title: &str, axis: &str, lines: &[PlotLine]) {
    let folder = format!("{}/docs/figures", env!("CARGO_MANIFEST_DIR"));
    std::fs::create_dir_all(&folder).unwrap();
    let path = format!("{folder}/{path}");
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE).unwrap();
    let all = || lines.iter().flat_map(|line| &line.points);
    let right = all().map(|point| point.0).fold(0.0, f64::max);
    let left = all().map(|point| point.0).fold(right, f64::min);
    let top = all().map(|point| point.1).fold(0.0, f64::max) * 1.1 + 1e-9;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(left..right, 0.0..top)
        .unwrap();
    chart.configure_mesh().x_desc("seconds").y_desc(axis).draw().unwrap();
    for line in lines {
        let colour = line.colour;
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(series)
            .unwrap()
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw().unwrap();
    area.present().unwrap();
}

/// Counts events per second.
fn per_second(times: impl Iterator<Item = u64>, until: u64) -> Vec<(f64, f64)> {
    let mut counts = vec![0.0; (until / 1_000) as usize];
    for time in times {
        if let Some(count) = counts.get_mut((time / 1_000) as usize) {
            *count += 1.0;
        }
    }
    counts.into_iter().enumerate().map(|(second, count)| (second as f64, count)).collect()
}

/// Draws the answers in time per second through the crest.
pub fn crest<A: BenchRouter, B: BenchRouter>(
    deployment: Deployment,
    ours: &World<A>,
    naive: &World<B>,
    until: u64,
) {
    fn answers<R: BenchRouter>(world: &World<R>, until: u64) -> Vec<(f64, f64)> {
        let ends = world.jobs.iter().zip(&world.results);
        let ends = ends.filter(|(job, result)| world.in_time(job, result));
        per_second(ends.filter_map(|(_, result)| result.end), until)
    }
    let lines = [
        PlotLine {
            name: "arrivals",
            colour: RGBColor(160, 160, 160),
            points: per_second(ours.jobs.iter().map(|job| job.at), until),
        },
        PlotLine { name: "naive, in time", colour: RED, points: answers(naive, until) },
        PlotLine { name: "guavapass, in time", colour: BLUE, points: answers(ours, until) },
    ];
    let title = format!("{}: a crest from one heavy team", deployment.name());
    draw(&format!("crest-{}.svg", deployment.name()), &title, "requests a second", &lines);
}

/// Draws the new version's answers around its fall.
pub fn rollout<R: BenchRouter>(deployment: Deployment, world: &World<R>, fall: u64) {
    const AROUND_S: f64 = 300.0;
    let new = deployment.new_version();
    let until = fall + AROUND_S as u64 * 1_000;
    let answers = |good: bool| {
        let found = world
            .results
            .iter()
            .filter(|result| result.version.as_ref() == Some(&new) && result.good == good);
        let points = per_second(found.filter_map(|result| result.end), until);
        let mut sum = 0.0;
        let first = fall as f64 / 1_000.0 - AROUND_S;
        let points = points.into_iter().map(|(second, count)| {
            sum += count;
            (second, sum)
        });
        points.filter(|point| point.0 >= first).collect::<Vec<_>>()
    };
    let lines = [
        PlotLine { name: "good answers, in sum", colour: BLUE, points: answers(true) },
        PlotLine { name: "poor answers, in sum", colour: RED, points: answers(false) },
    ];
    let title = format!(
        "{}: a version at a share of 0.05 turns bad at {} s",
        deployment.name(),
        fall / 1_000
    );
    draw(&format!("rollout-{}.svg", deployment.name()), &title, "answers", &lines);
}
