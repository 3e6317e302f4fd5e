//! Tests of the store against a model: random operations, interrupted by a kill, a full disk or a failure at
//! any of their file operations; and single cases of damaged, torn and foreign segments. Payloads and states
//! may be made of the format's own bytes.

mod cases;
mod forged_payloads;
mod forgery;
mod model;
mod older_version;
mod properties;
