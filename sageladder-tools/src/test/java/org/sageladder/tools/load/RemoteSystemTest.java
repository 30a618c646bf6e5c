package org.sageladder.tools.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.platform.store.HttpVmList;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.load.Experiment.Fault;
import org.sageladder.tools.load.Experiment.FaultKind;

class RemoteSystemTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  @TempDir Path directory;
  private final BlockingHttpClient client = BlockingHttpClient.withTimeout(TIMEOUT);
  private TargetServer target;
  private StoreServer store;

  @BeforeEach
  void start() throws IOException {
    target =
        TargetServer.start(
            TargetOptions.create("t-1").serviceTime(ServiceTime.fixed(1)).crashMillis(300));
    store = StoreServer.start("127.0.0.1", 0);
    store.putVm(
        new ListedVm(
            VmRole.TARGET,
            "t-1",
            "kannelkoda",
            "lyric-search",
            "tallinn-1",
            "127.0.0.1",
            target.port(),
            0,
            1,
            false));
  }

  @AfterEach
  void stop() {
    client.close();
    target.close();
    store.close();
  }

  // Guards against a second experiment on the same daemons failing the shift caps with hardly any
  // load: a target keeps counting, so the first window would contain the starts of the earlier
  // experiment.
  @Test
  void startsOfEarlierRunsDoNotCount() throws Exception {
    sendWork("a");
    sendWork("b");
    try (SystemUnderTest system = connect(store.address())) {
      assertEquals(0, system.targets().get(0).read().started());
      sendWork("c");
      assertEquals(1, system.targets().get(0).read().started());
    }
  }

  // Guards against a drain that outlasts its variant: all later variants would run with a leaving
  // target and look worse. Clearing the leaving mark is not enough, since leaving is final within
  // an incarnation; the target must come back as a later one.
  @Test
  void closeRestartsADrainedTargetAsALaterIncarnation() throws Exception {
    try (SystemUnderTest system = connect(store.address())) {
      assertEquals("t-1", system.inject(fault(FaultKind.DRAIN_TARGET)));
      assertTrue(listed().leaving());
      assertEquals(200, sendWork("d"), "only the list announces the drain");
    }
    assertFalse(listed().leaving());
    assertEquals(2, listed().incarnation());
  }

  /** Guards against a variant that ends since a target of the previous one restarts under it. */
  @Test
  void nextVariantStartsAfterTheDrainedTargetHasRestarted() throws Exception {
    try (SystemUnderTest system = connect(store.address())) {
      system.inject(fault(FaultKind.DRAIN_TARGET));
    }
    assertEquals(2, target.incarnation());
  }

  /** Guards against a variant that ends since a target of the previous one is still down. */
  @Test
  void nextVariantStartsAfterTheCrashedTargetHasRestarted() throws Exception {
    try (SystemUnderTest system = connect(null)) {
      system.inject(fault(FaultKind.CRASH_TARGET));
    }
    assertEquals(2, target.incarnation());
    assertEquals(200, sendWork("g"));
  }

  @Test
  void closeClearsTheTargetsFaults() throws Exception {
    try (SystemUnderTest system = connect(null)) {
      system.inject(fault(FaultKind.SHED_TARGET));
      assertEquals(503, sendWork("e"));
    }
    assertEquals(200, sendWork("f"));
  }

  @Test
  void unsupportedFaultsNameAnAlternative() throws Exception {
    try (SystemUnderTest system = connect(null)) {
      IOException kill =
          assertThrows(IOException.class, () -> system.inject(fault(FaultKind.KILL_ENTRY)));
      assertTrue(kill.getMessage().contains("by hand"), kill.getMessage());
      IOException down =
          assertThrows(IOException.class, () -> system.inject(fault(FaultKind.STORE_DOWN)));
      assertTrue(down.getMessage().contains("--store"), down.getMessage());
    }
  }

  private SystemUnderTest connect(@Nullable URI storeUri) throws Exception {
    Path targets = directory.resolve("targets.yaml");
    Files.writeString(
        targets,
        "targets:\n  - {id: t-1, service: lyric-search, zone: tallinn-1, slots: 3, uri: \""
            + target.address()
            + "\"}\n");
    Contract contract = Experiment.read(Path.of("..", "experiments", "kannelkoda.yaml")).contract();
    RemoteSystem.Endpoints endpoints =
        new RemoteSystem.Endpoints(List.of("127.0.0.1:1"), List.of(), targets, storeUri);
    return RemoteSystem.provider(endpoints).start(contract, 1, TIMEOUT);
  }

  private static Fault fault(FaultKind kind) {
    return new Fault(Duration.ZERO, kind, "tallinn-1", "lyric-search", Duration.ZERO, 1);
  }

  private int sendWork(String requestId) throws IOException {
    return client.get(target.address().resolve("/songs?work=" + requestId)).status();
  }

  private ListedVm listed() throws Exception {
    try (HttpVmList list = HttpVmList.connect(store.address(), TIMEOUT)) {
      return list.fetch().get(0);
    }
  }
}
