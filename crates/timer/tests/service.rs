//! The timer service with a manual clock.

use std::{sync::Arc, time::Duration};

use hyssop_timer::{Clock, ManualClock, Service};

const RESOLUTION: Duration = Duration::from_millis(1);
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);

fn service() -> (Arc<ManualClock>, Arc<Service>) {
    let clock = Arc::new(ManualClock::default());
    let dyn_clock: Arc<dyn Clock> = Arc::<ManualClock>::clone(&clock);
    let service = Service::builder()
        .clock(dyn_clock)
        .resolution(RESOLUTION)
        .pause_threshold(PAUSE_THRESHOLD)
        .start();
    (clock, service)
}

#[tokio::test]
async fn a_subscription_ticks_once_for_all_missed_periods() {
    let (clock, service) = service();
    let mut ticks = service.subscribe(Duration::from_millis(100));
    clock.advance(Duration::from_millis(350));
    let tick = ticks.next().await.expect("the service runs");
    assert_eq!(tick.gap, Duration::from_millis(350));
    let early = tokio::time::timeout(20 * RESOLUTION, ticks.next()).await;
    assert!(early.is_err(), "no time has passed since the tick");
}

#[tokio::test]
async fn a_pause_is_detected_before_the_next_tick() {
    let (clock, service) = service();
    assert!(!service.paused_within(Duration::from_secs(1)));
    clock.advance(Duration::from_secs(3));
    assert!(service.paused_within(Duration::from_secs(1)));
}

#[tokio::test]
async fn a_pause_is_reported_for_the_window() {
    let (clock, service) = service();
    let mut ticks = service.subscribe(Duration::from_secs(1));
    clock.advance(Duration::from_secs(3));
    ticks.next().await.expect("the service runs");
    assert_eq!(service.pauses(), 1);
    for _ in 0..5 {
        clock.advance(Duration::from_millis(200));
        let mut next = service.subscribe(Duration::ZERO);
        next.next().await.expect("the service runs");
    }
    assert!(service.paused_within(Duration::from_millis(1001)));
    assert!(!service.paused_within(Duration::from_millis(999)));
}

#[tokio::test]
async fn subscriptions_end_with_the_service() {
    let (_clock, service) = service();
    let mut ticks = service.subscribe(Duration::from_secs(1));
    drop(service);
    assert!(ticks.next().await.is_none());
}
