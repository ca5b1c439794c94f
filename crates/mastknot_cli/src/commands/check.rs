use mastknot_entry::EntryFile;
use mastknot_runtime::load_settings;
use mastknot_side::SideFile;

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::{Check, SettingsKind};

/// Runs `mastknot check`: validates a settings file and starts nothing.
pub(crate) fn check(check: &Check) -> Result<Exit, CliError> {
    match check.kind {
        SettingsKind::Entry => {
            load_settings::<EntryFile>(&check.file)?;
        }
        SettingsKind::Side => {
            load_settings::<SideFile>(&check.file)?;
        }
    }
    println!("{}: settings are good", check.file.display());
    Ok(Exit::Done)
}
