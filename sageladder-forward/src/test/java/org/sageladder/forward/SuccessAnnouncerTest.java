package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.Quarantine;
import org.sageladder.core.quarantine.RunSuccess;

/** Guards against an innocent request that other entry VMs hold back and so never see run well. */
class SuccessAnnouncerTest {
  private static final long POPULAR = 5;

  private final Loop loop = Loop.start();
  private final Quarantine quarantine = Quarantine.create(Quarantine.Limits.standard());
  private final LinkedBlockingQueue<RunSuccess> announced = new LinkedBlockingQueue<>();
  private final SuccessAnnouncer announcer =
      new SuccessAnnouncer(loop, quarantine, () -> 0, announced::add);

  @AfterEach
  void close() {
    loop.close();
  }

  private void addCrashes(int firstTarget) {
    for (int target = firstTarget; target < firstTarget + 3; target++) {
      quarantine.add(new CrashReport("t-" + target, 1, 1_000L + target, Set.of(POPULAR)));
    }
  }

  /** Runs what is scheduled for now. */
  private void runScheduled() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    var unused = loop.schedule(1, done::countDown);
    assertTrue(done.await(60, TimeUnit.SECONDS));
  }

  @Test
  void runThatRefutesReportsIsAnnouncedOnce() throws Exception {
    addCrashes(1);
    quarantine.recordSuccess(POPULAR, 2_000);
    loop.execute(announcer::onChange);
    assertEquals(new RunSuccess(POPULAR, 2_000), announced.poll(60, TimeUnit.SECONDS));
    quarantine.recordSuccess(POPULAR, 2_100);
    loop.execute(announcer::onChange);
    runScheduled();
    assertNull(announced.poll());
  }

  @Test
  void runThatAnotherVmHasAnnouncedIsNotAnnouncedAgain() throws Exception {
    addCrashes(1);
    loop.execute(() -> announcer.onAnnounced(new RunSuccess(POPULAR, 1_900)));
    quarantine.recordSuccess(POPULAR, 2_000);
    loop.execute(announcer::onChange);
    runScheduled();
    assertNull(announced.poll());
  }

  @Test
  void runOfARequestThatNoOtherVmHoldsBackIsNotAnnounced() throws Exception {
    quarantine.add(new CrashReport("t-1", 1, 1_000, Set.of(POPULAR)));
    quarantine.recordSuccess(POPULAR, 2_000);
    loop.execute(announcer::onChange);
    runScheduled();
    assertNull(announced.poll());
  }
}
