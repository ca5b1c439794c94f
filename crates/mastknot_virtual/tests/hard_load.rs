//! Steady load near and past what the targets bear.

mod load;

use std::time::Duration;

use load::{DRAINED, MIDDLE, Play, SETTLED};

const LOADED: Duration = Duration::from_secs(3);

#[test]
fn no_promise_is_broken_whatever_comes() {
    for times in [1.3, 1.6, 2.2, 3.0] {
        let mut play = Play::new(MIDDLE);
        let until = SETTLED + LOADED;
        play.submit(SETTLED, until, times, |_| 1.0);
        play.run(SETTLED);
        let empty = play.run(until);
        let messages = play.messages_per_run(SETTLED, until);
        play.system.run_until(until + DRAINED);
        assert_eq!(play.system.violations(), [], "{times} times the usual load");
        assert_eq!(play.system.held_jobs_and_runs(), (0, 0));
        let summary = play.summary();
        println!("{times}: {summary}, {messages:.2} messages a run, {empty:.3} empty");
    }
}
