//! The rule on drains: nothing new goes to an endpoint later than a grace after its sender was told that it drains.

use std::collections::HashMap;

/// When each sender was told what.
#[derive(Default)]
pub struct Drains {
    /// Endpoints that drain, and the version of the list that says so.
    draining: HashMap<u32, u64>,
    /// By sender and endpoint, when it was told.
    told: HashMap<(u16, u32), f64>,
    versions: HashMap<u16, u64>,
}

impl Drains {
    pub fn listed(&mut self, endpoint: u32, version: u64) {
        self.draining.insert(endpoint, version);
    }

    pub fn ended(&mut self, endpoint: u32) {
        self.draining.remove(&endpoint);
        self.told.retain(|(_, own), _| *own != endpoint);
    }

    pub fn told(&mut self, sender: u16, version: u64, at: f64) {
        let known = self.versions.entry(sender).or_default();
        *known = version.max(*known);
        let known = *known;
        for (endpoint, listed) in &self.draining {
            if *listed <= known {
                self.told.entry((sender, *endpoint)).or_insert(at);
            }
        }
    }

    /// A call came from a sender whose process was ready at `up`; how much too late.
    pub fn called(&self, sender: u16, endpoint: u32, up: Option<f64>, at: f64, grace: f64) -> Option<f64> {
        let told = *self.told.get(&(sender, endpoint))?;
        let late = at - up.map_or(told, |up| told.max(up)) - grace;
        (late > 0.0).then_some(late)
    }
}
