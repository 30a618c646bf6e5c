import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connection that carries a machine's watch goes silent, while new connections to the store
 * work; a while later a few backends report that they are draining.
 *
 * <p>The rule DRAIN: no request reaches one later than `drain` after the store's acknowledgement.
 */
final class DrainCase {
  private static final long CONTACT_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_500;
  private static final long LONGER_MILLIS = 800;
  private static final int BACKENDS_PER_ZONE = 4;

  public static void main(String[] arguments) throws IOException {
    Bed.run(
        arguments[0],
        Bed.KD_LADDER,
        bed -> play(bed, Bed.hasTrouble()));
  }

  private static boolean play(Bed bed, boolean hasTrouble)
      throws IOException, InterruptedException {
    bed.addVm("entry-a", "north-1", "north");
    bed.addVm("entry-b", "south-1", "south");
    bed.addVm("entry-c", "west-1", "west");
    int next = 0;
    for (String zone : List.copyOf(bed.zones.keySet())) {
      for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
        bed.addBackend("i-" + next++, "svc", zone, 6, 250);
      }
    }
    bed.store.put("op/config", Bed.config(7, "", "true"));
    bed.startVms();
    bed.record.step("all VMs are ready");
    Load load = new Load(bed);
    for (Vm vm : bed.vms) {
      load.begin(vm, "/safe/1", "-", "", 30);
      load.begin(vm, "/unsafe/1", "-", "", 10);
    }
    Thread.sleep(6_000);
    if (hasTrouble) {
      bed.vms.forEach(vm -> bed.store.silenceNextWatch(vm.host));
    }
    bed.store.put("op/config", Bed.config(9, "", "true"));
    bed.record.step("the operator changes the configuration");
    Thread.sleep(1_000);
    if (hasTrouble) {
      for (Vm vm : bed.vms) {
        bed.record.step(vm.name + "'s watch is silent: " + bed.store.isWatchSilenced(vm.host));
      }
    }
    Thread.sleep(CONTACT_MILLIS + 1_000);
    long lastMillis = 0;
    int late = 0;
    // A quarter of the service leaves, one backend in each zone.
    Map<String, Long> drainedAt = new HashMap<>();
    for (int i = 0; i < bed.backends.size(); i += BACKENDS_PER_ZONE) {
      Backend leaving = bed.backends.get(i);
      leaving.drain();
      bed.store.put("servers/" + leaving.id, leaving.beat());
      drainedAt.put(leaving.id, bed.record.now());
      bed.record.step("the store has acknowledged that " + leaving.id + " is draining");
    }
    // "It continues serving for `drain` [...] and a little longer [...], and then exits."
    Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
    for (Backend backend : bed.backends) {
      if (drainedAt.containsKey(backend.id)) {
        backend.stop();
        bed.record.step(backend.id + " exits");
      }
    }
    Thread.sleep(7_000);
    load.end();
    int lost = 0;
    for (Record.Run run : bed.record.runs()) {
      Long at = drainedAt.get(run.backend());
      if (at != null && run.atMillis() > at + DRAIN_MILLIS) {
        late++;
        lastMillis = Math.max(lastMillis, run.atMillis() - at);
        bed.record.line("LATE " + run.request() + " at " + run.backend());
        Load.Sent sent = load.sent().get(run.request());
        lost += sent != null && sent.isUnsafe() && sent.status() != 200 ? 1 : 0;
      }
    }
    bed.record.step(
        "CHECK DRAIN: "
            + late
            + " requests reached them later than "
            + DRAIN_MILLIS
            + " ms after that, the last after "
            + lastMillis
            + " ms; "
            + lost
            + " of them are unsafe requests that got no success");
    bed.record.step(late == 0 ? "HELD" : "BROKEN");
    return late == 0;
  }
}
