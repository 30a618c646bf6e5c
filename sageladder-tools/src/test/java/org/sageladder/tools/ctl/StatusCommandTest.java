package org.sageladder.tools.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.platform.settings.ExitCode;
import org.sageladder.standin.http.JsonExchange.Reply;
import org.sageladder.standin.http.JsonServer;

class StatusCommandTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final Map<String, Object> zones = new TreeMap<>();
  private final AtomicInteger requestCount = new AtomicInteger();
  private Runnable beforeAnswer = () -> {};
  private JsonServer entryVm;

  @BeforeEach
  void startEntryVm() throws Exception {
    entryVm =
        JsonServer.start(
            "127.0.0.1",
            0,
            call -> {
              requestCount.incrementAndGet();
              beforeAnswer.run();
              return CompletableFuture.completedFuture(Reply.json(200, state()));
            });
    report("tartu-a", 7, 7, List.of());
    report("tartu-b", 7, 5, List.of("vm-4"));
  }

  @AfterEach
  void stopEntryVm() {
    entryVm.close();
  }

  @Test
  void printsLowestRevisionAndLaggingVmsOfEachZone() {
    run("status", "--operators", address());
    assertTrue(out().contains("zone tartu-a: lowest revision 7 at 3 entry VMs"), out());
    assertTrue(out().contains("behind its relay: vm-4"), out());
    assertTrue(out().contains("lowest revision in force: 5, in tartu-b"), out());
  }

  // Guards against a wait that ends when the queried VM has the revision while another zone still
  // uses the old limits, because only the VM's own revision is considered.
  @Test
  void waitContinuesWhileAnyZoneLags() {
    ExitCode code = run("status", "--operators", address(), "--wait", "7", "--within", "500ms");
    assertEquals(ExitCode.VERDICT_FAILED, code);
    assertTrue(err().contains("lags: zone tartu-b: lowest revision 5"), err());
  }

  @Test
  void waitEndsAsSoonAsAllZonesHaveTheRevision() {
    beforeAnswer =
        () -> {
          if (requestCount.get() == 3) {
            report("tartu-b", 8, 7, List.of());
          }
        };
    ExitCode code = run("status", "--operators", address(), "--wait", "7", "--within", "1m");
    assertEquals(ExitCode.OK, code, err());
    assertEquals(3, requestCount.get());
    assertTrue(out().contains("in force everywhere after"), out());
  }

  // The relay of a new zone has not reported yet. If only zones with a report counted, the wait
  // would end although the revision in this zone is unknown.
  @Test
  void zoneWithoutAReportCountsAsLagging() {
    zones.remove("tartu-b");
    ExitCode code = run("status", "--operators", address(), "--wait", "7", "--within", "300ms");
    assertEquals(ExitCode.VERDICT_FAILED, code);
    assertTrue(err().contains("zone tartu-b: no report of its revision yet"), err());
  }

  @Test
  void waitWithoutAnswersIsUnavailableAndBadRevisionIsUsage() {
    String gone = address();
    entryVm.close();
    assertEquals(
        ExitCode.UNAVAILABLE,
        run("status", "--operators", gone, "--wait", "7", "--within", "300ms"));
    assertEquals(ExitCode.USAGE, run("status", "--operators", gone, "--wait", "newest"));
    assertTrue(err().contains("give a revision or 'latest'"), err());
    assertEquals(ExitCode.USAGE, run("status", "--operators", gone, "--wait", "latest"));
  }

  private void report(String zone, long takenAt, long lowest, List<String> lagging) {
    zones.put(
        zone,
        Map.of(
            "customer",
            "kannelkoda",
            "takenAtMillis",
            takenAt,
            "ageMillis",
            40,
            "members",
            3,
            "lowestRevision",
            lowest,
            "lagging",
            lagging));
  }

  private Map<String, Object> state() {
    Map<String, Object> view = Map.of("number", 9, "members", List.of());
    return Map.of(
        "vm",
        "vm-1",
        "readiness",
        "READY",
        "revisions",
        Map.of("kannelkoda", 7),
        "views",
        Map.of("tartu-a", view, "tartu-b", view),
        "zones",
        zones,
        "gates",
        Map.of());
  }

  private String address() {
    return "127.0.0.1:" + entryVm.port();
  }

  private ExitCode run(String... args) {
    out.reset();
    err.reset();
    return Ctl.run(
        args,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
