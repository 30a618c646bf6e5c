import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A machine is removed, with a SIGTERM, while the store is down for eight seconds; its lease pauses
 * meanwhile.
 *
 * <p>The rule DRAIN: at most three answers of the directory, by machines in touch, name it beside a
 * running machine later than `contact` + 3 s after it has ended.
 */
final class DirectoryCase {
  private static final long CONTACT_MILLIS = 3_000;
  private static final long ALLOWED_MILLIS = CONTACT_MILLIS + 3_000;
  private static final long DOWN_MILLIS = 8_000;
  private static final int CLIENTS_PER_ZONE = 30;
  private static final int MOST = 3;

  /** An answer of a directory. */
  private record Answer(long atMillis, String by, List<String> addresses) {}

  private static volatile boolean isOver;

  public static void main(String[] arguments) throws IOException {
    Bed.run(
        arguments[0],
        Bed.KD_LADDER,
        bed -> play(bed, Bed.hasTrouble()));
  }

  private static boolean play(Bed bed, boolean hasTrouble)
      throws IOException, InterruptedException {
    bed.addVm("entry-a", "north-1", "north");
    bed.addVm("entry-b", "north-1", "north");
    bed.addVm("entry-c", "north-2", "north");
    bed.addVm("entry-d", "north-2", "north");
    for (String zone : List.copyOf(bed.zones.keySet())) {
      bed.addBackend("i-" + zone, "svc", zone, 4, 50);
    }
    bed.store.put("op/config", Bed.config(7, "", "true"));
    bed.startVms();
    bed.record.step("all VMs are ready");
    Thread.sleep(3_000);
    List<Answer> answers = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int zone = 0; zone < 2; zone++) {
      List<Vm> nearest = List.of(bed.vms.get(2 * zone), bed.vms.get(2 * zone + 1));
      for (int i = 0; i < CLIENTS_PER_ZONE; i++) {
        int number = i;
        Thread client = new Thread(() -> lookUp(bed, nearest, number, answers));
        client.start();
        clients.add(client);
      }
    }
    Thread.sleep(3_000);
    Vm lost = bed.vms.get(1);
    String item = "sageladder/entry/" + lost.name;
    while (bed.store.leaseLeftMillis(item) < CONTACT_MILLIS - 400) {
      Thread.sleep(10);
    }
    if (hasTrouble) {
      bed.store.goDown();
      bed.record.step("the store is down, leases pause");
    }
    long downAt = bed.record.now();
    Thread.sleep(200);
    lost.signal("TERM");
    bed.record.step(lost.name + " is to stop");
    while (lost.isAlive() && bed.record.now() < downAt + 7_000) {
      Thread.sleep(10);
    }
    long lostAt = bed.record.now();
    bed.record.step(lost.name + " has ended: " + !lost.isAlive() + "; it is not started again");
    Thread.sleep(Math.max(0, downAt + DOWN_MILLIS - bed.record.now()));
    bed.store.comeBack();
    long backAt = bed.record.now();
    bed.record.step("the store serves again");
    Thread.sleep(10_000);
    isOver = true;
    for (Thread client : clients) {
      client.join();
    }
    return check(bed, lost, lostAt, hasTrouble ? backAt + CONTACT_MILLIS : lostAt, answers);
  }

  /** One client: asks its zone's directories, the next one if one does not answer in a second. */
  private static void lookUp(Bed bed, List<Vm> nearest, int number, List<Answer> answers) {
    try {
      Thread.sleep(2_000L * number / CLIENTS_PER_ZONE);
      while (!isOver) {
        long from = bed.record.now();
        for (int i = 0; i < nearest.size(); i++) {
          Vm asked = nearest.get((number + i) % nearest.size());
          List<String> addresses = asked.resolve(asked.zone, asked.region, 1_000);
          if (!addresses.isEmpty()) {
            answers.add(new Answer(bed.record.now(), asked.name, addresses));
            bed.record.line("DIRECTORY " + asked.name + " names " + addresses);
            break;
          }
        }
        Thread.sleep(Math.max(0, from + 2_000 - bed.record.now()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean check(
      Bed bed, Vm lost, long lostAt, long inTouchFrom, List<Answer> answers) {
    String address = lost.host + ":" + lost.ports.front();
    int late = 0;
    long last = 0;
    for (Answer answer : answers) {
      boolean isLate =
          answer.atMillis() > lostAt + ALLOWED_MILLIS && answer.atMillis() > inTouchFrom;
      if (isLate && answer.addresses().contains(address) && answer.addresses().size() > 1) {
        late++;
        last = Math.max(last, answer.atMillis());
      }
    }
    bed.record.step(
        "CHECK DRAIN: "
            + late
            + " answers later than "
            + (lostAt + ALLOWED_MILLIS)
            + " ms, of machines in touch from "
            + inTouchFrom
            + " ms on, name it, the last at "
            + last
            + " ms; the rule allows "
            + MOST);
    bed.record.step(late <= MOST ? "HELD" : "BROKEN");
    return late <= MOST;
  }
}
