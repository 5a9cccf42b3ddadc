//! Reads the records of files.

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::time::SystemTime;

use coltsfootweir::record::ConfigRecord;
use coltsfootweir::schema::MAX_BODY_BYTES;
use coltsfootweir::schema::parse_records;

use crate::failure::CommandFailure;
use crate::failure::InputFault;

/// Reads the records of files; relative times count from now.
///
/// # Errors
/// [`CommandFailure::Refused`] with every fault of every file.
pub fn read_files(files: &[PathBuf]) -> Result<Vec<ConfigRecord>, CommandFailure> {
    let now = SystemTime::now();
    let mut records = Vec::new();
    let mut faults = Vec::new();
    let mut labels = BTreeSet::new();
    for file in files {
        let name: Box<str> = file.display().to_string().into();
        match read_records(file, now) {
            Ok(found) => {
                for record in found {
                    if !labels.insert(record.label()) {
                        let fault = repeated(&record).in_file(name.clone());
                        faults.push(fault);
                    }
                    records.push(record);
                }
            }
            Err(found) => faults.extend(found.into_iter().map(|fault| fault.in_file(name.clone()))),
        }
    }
    if faults.is_empty() {
        Ok(records)
    } else {
        Err(CommandFailure::Refused(faults))
    }
}

fn read_records(file: &Path, now: SystemTime) -> Result<Vec<ConfigRecord>, Vec<InputFault>> {
    let text = read_text(file).map_err(|fault| vec![fault])?;
    parse_records(&text, now).map_err(|faults| faults.into_iter().map(InputFault::from).collect())
}

/// Reads a text, but no more than a body of records may hold.
fn read_text(file: &Path) -> Result<String, InputFault> {
    let mut bytes = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    let read = if file == Path::new("-") {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)
    } else {
        File::open(file).and_then(|open| open.take(limit).read_to_end(&mut bytes))
    };
    read.map_err(|error| InputFault::new(error.to_string()))?;
    if bytes.len() > MAX_BODY_BYTES {
        let reason = format!("longer than {MAX_BODY_BYTES} bytes");
        return Err(InputFault::new(reason));
    }
    String::from_utf8(bytes).map_err(|error| InputFault::new(format!("not UTF-8: {error}")))
}

fn repeated(record: &ConfigRecord) -> InputFault {
    InputFault {
        record: Some(record.label()),
        ..InputFault::new("also in an earlier file")
    }
}
