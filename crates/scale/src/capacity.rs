//! Makes the tables of the capacity page from the file of slopes and the size to design for.
//!
//! `size.rs` reads the size file, `figures.rs` works the figures out, `tables.rs` turns them into tables, and `page.rs` puts
//! those between the page's markers. `lab.rs` takes in the slope that the emulator gives. Nothing is written by hand between
//! the markers, and CI checks that the page is the one that the files give.

mod figures;
mod format;
mod lab;
mod page;
mod size;
mod tables;

use crate::error::Error;
use crate::slopes::SlopeFile;
use bpaf::Bpaf;
use std::path::{Path, PathBuf};

/// What `capacity` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The root of the repository, from which mechanisms and sources are named
    #[bpaf(argument("DIR"), fallback(PathBuf::from(".")))]
    pub root: PathBuf,
    /// The file of slopes; one that is not there holds none (default: docs/capacity/slopes.json under the root)
    #[bpaf(argument("FILE"))]
    pub slopes: Option<PathBuf>,
    /// The size to design for, and the figures (default: docs/capacity/size.toml under the root)
    #[bpaf(argument("FILE"))]
    pub size: Option<PathBuf>,
    /// The page whose tables are made (default: docs/CAPACITY.md under the root)
    #[bpaf(argument("FILE"))]
    pub page: Option<PathBuf>,
    /// First takes a slope from this folder, which `scalebarrow-lab sweep experiments/capacity-down.toml --out DIR` wrote,
    /// into the file of slopes
    #[bpaf(argument("DIR"))]
    pub lab: Option<PathBuf>,
    /// Writes nothing: ends with 1 and a diff if the page is not the one that the files give
    pub check: bool,
}

impl Options {
    /// Every file in its usual place under `root`.
    pub fn under(root: &Path, check: bool) -> Options {
        Options { root: root.to_owned(), slopes: None, size: None, page: None, lab: None, check }
    }

    fn file(&self, told: &Option<PathBuf>, usual: &str) -> PathBuf {
        told.clone().unwrap_or_else(|| self.root.join(usual))
    }
}

/// Makes the tables, or checks them.
pub fn run(options: &Options) -> Result<(), Error> {
    let path = options.file(&options.page, "docs/CAPACITY.md");
    let slopes = slopes(options)?;
    let size = size::Size::read(&options.file(&options.size, "docs/capacity/size.toml"), &options.root)?;
    let figures = figures::Figures::work_out(&size, &slopes)?;
    let refused = |why: String| Error::Input(format!("{}: {why}", path.display()));
    let old = std::fs::read_to_string(&path).map_err(|e| refused(e.to_string()))?;
    let new = page::fill(&old, &tables::all(&size, &figures, &slopes)).map_err(refused)?;
    if old == new {
        return Ok(());
    }
    if options.check {
        let diff = similar::TextDiff::from_lines(&old, &new);
        let diff = diff.unified_diff().header("the page", "what the files give").to_string();
        return Err(Error::Failed(format!(
            "{} is not the page that the files give:\n{diff}",
            path.display()
        )));
    }
    std::fs::write(&path, new)?;
    Ok(())
}

/// The slopes of the file, with the one from the emulator where its folder is told.
fn slopes(options: &Options) -> Result<SlopeFile, Error> {
    let path = options.file(&options.slopes, "docs/capacity/slopes.json");
    let mut slopes = SlopeFile::read(&path)?;
    if let Some(folder) = &options.lab {
        if options.check {
            return Err(Error::Input("--check writes nothing, and --lab does: give one of them".into()));
        }
        slopes.insert(lab::slope(&options.root, folder, crate::verbs::slope::commit())?);
        slopes.write(&path)?;
    }
    Ok(slopes)
}
