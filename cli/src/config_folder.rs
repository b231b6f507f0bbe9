//! Reads configuration files from disk.

use std::collections::BTreeMap;
use std::path::Path;

use smol_str::SmolStr;

use crate::CommandError;

/// Reads all `.ini` files of a folder; returns their texts by file name.
pub fn read_folder(folder: &Path) -> Result<BTreeMap<SmolStr, String>, CommandError> {
    let read_error = |source| CommandError::Read {
        path: folder.to_owned(),
        source,
    };
    let mut files = BTreeMap::new();
    for entry in std::fs::read_dir(folder).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        let (name, text) = read_file(&path)?;
        files.insert(name, text);
    }
    if files.is_empty() {
        return Err(CommandError::EmptyFolder(folder.to_owned()));
    }
    Ok(files)
}

/// Reads one file; returns its file name and its text.
pub fn read_file(path: &Path) -> Result<(SmolStr, String), CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.to_owned(),
        source,
    })?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    Ok((name.as_ref().into(), text))
}
