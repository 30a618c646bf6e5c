package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each step of a planned stop leaves room for the next, however late the event loop is. */
class ShutdownScheduleTest {
  private static final long GRACE_MILLIS = 6_000;

  /** A process that ran until just before the end was killed before it had ended. */
  @Test
  void processExitsWellBeforeTheEndOfTheGracePeriod() {
    for (long delayMillis : new long[] {0, 100, 1_000, 10_000}) {
      ShutdownSchedule schedule = ShutdownSchedule.of(GRACE_MILLIS, delayMillis);
      assertTrue(schedule.exitMillis() <= GRACE_MILLIS - 250, schedule.toString());
      assertTrue(schedule.responseMillis() < schedule.exitMillis(), schedule.toString());
      assertTrue(schedule.admissionMillis() <= schedule.responseMillis(), schedule.toString());
    }
  }

  /** A loop late by more than the time for responses was killed with requests in flight. */
  @Test
  void requestsEndEarlierByTheDelayOfTheLoop() {
    assertEquals(3_450, ShutdownSchedule.of(GRACE_MILLIS, 2_000).admissionMillis());
    assertEquals(5_050, ShutdownSchedule.of(GRACE_MILLIS, 400).responseMillis());
  }

  /** Runs that end before the last sixth of the grace period must not be broken off. */
  @Test
  void runsAreNotBrokenOffBeforeTheLastSixthOfTheGracePeriod() {
    assertEquals(5_000, ShutdownSchedule.of(GRACE_MILLIS, 10_000).responseMillis());
  }

  @Test
  void delayCostsAtMostHalfOfTheGracePeriod() {
    assertEquals(3_000, ShutdownSchedule.of(GRACE_MILLIS, 10_000).admissionMillis());
  }

  @Test
  void shortGracePeriodKeepsTheOrderOfTheSteps() {
    ShutdownSchedule schedule = ShutdownSchedule.of(600, 0);
    assertEquals(new ShutdownSchedule(500, 300, 500, 550), schedule);
  }
}
