//! Runs the cases of the review: `review-bench CASE FOLDER`. The record goes to FOLDER/record.txt. Exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod config;
mod http;
mod platform;
mod record;
mod run;
mod sender;
mod slow_list;
mod store_end;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg = |index: usize| args.get(index).map_or("", String::as_str);
    let folder = Path::new(arg(1));
    let code = match arg(0) {
        "slow-list" => run::run_case(folder, slow_list::run),
        "store-end" => run::run_case(folder, store_end::run),
        _ => 2,
    };
    std::process::exit(code);
}
