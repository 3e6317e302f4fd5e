//! Idle connections: scarce ones are closed, and ones that something on the way forgets.

use super::*;

impl Logic {
    /// Idle connections keep others out where endpoints take few. They close when nothing waits for them,
    /// where a connect failed lately (a handshake a call), or calls come further apart than they stay open.
    pub(super) fn spare_links(&self) -> Option<Pick> {
        let which = |kind: &Name| {
            let (until, good) = self.thrift.get(kind).copied().unwrap_or((self.now, 0));
            // 30 calls: enough connects to meet a scarcity.
            if self.now < until { Some(0) } else { Some(1).filter(|_| good < 30) }
        };
        self.spare.first(which).map(Pick::Route)
    }

    pub(super) fn close_links(&mut self, pick: Pick, out: &mut dyn ActionSink) {
        let Pick::Route(ep) = pick else { return };
        out.close_idle_connections(&ep);
        if let Some(r) = self.routes.get_mut(&ep) {
            r.links = r.calls.len();
            self.held.changed.insert(r.dest);
        }
    }

    /// Calls on connections that stood idle get lost and others do not: something on the way forgets them.
    pub(super) fn links_go_stale(&self) -> bool {
        let count = |idle, lost| self.stale.iter().filter(|s| s.1 == idle && s.2 == lost).count() as f64;
        let (idle_lost, idle_good) = (count(true, true), count(true, false));
        let fresh = (count(false, true) + 1.0) / (count(false, false) + 10.0);
        // Three at least, a tenth of them, and twice the share of the others: chance seldom does that.
        idle_lost >= 3.0 && idle_lost / (idle_lost + idle_good) > (2.0 * fresh).max(0.1)
    }
}
