//! Steady load close to and beyond what the targets can run.

mod load;

use std::time::Duration;

use load::{DRAINED, MIDDLE, SETTLED, Simulation};

/// Duration of the load.
const LOADED: Duration = Duration::from_secs(3);

#[test]
fn no_promise_is_broken_whatever_comes() {
    for times in [1.3, 1.6, 2.2, 3.0] {
        let mut simulation = Simulation::new(MIDDLE);
        let until = SETTLED + LOADED;
        simulation.submit(SETTLED, until, times, |_| 1.0);
        simulation.run(SETTLED);
        let empty = simulation.run(until);
        let messages = simulation.messages_per_run(SETTLED, until);
        simulation.system.run_until(until + DRAINED);
        assert_eq!(
            simulation.system.violations(),
            [],
            "{times} times the usual load"
        );
        assert_eq!(simulation.system.held_jobs_and_runs(), (0, 0));
        let summary = simulation.summary();
        println!("{times}: {summary}, {messages:.2} messages a run, {empty:.3} empty");
    }
}
