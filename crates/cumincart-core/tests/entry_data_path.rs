//! Tests of one entry instance's data path. Each guarantee is tested with the failure that threatens it.

#[path = "entry_data_path/fixture.rs"]
mod fixture;
#[path = "entry_data_path/load.rs"]
mod load;
#[path = "entry_data_path/path.rs"]
mod path;
#[path = "entry_data_path/sessions.rs"]
mod sessions;
#[path = "entry_data_path/transactions.rs"]
mod transactions;
#[path = "entry_data_path/verdicts.rs"]
mod verdicts;
