package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that pipeline downloads and read them slowly, beside clients that send orders on kept
 * connections. Fails if more than three orders that the entry VM has passed on to a sound backend
 * end with a closed connection in place of an answer.
 */
final class SlowReaders {
  private static final String SERVICE = "wuno96b";
  private static final int SLOW_CLIENTS = 50;
  private static final int PIPELINED = 24;
  private static final int DOWNLOAD_BYTES = 250_000;
  private static final int OTHERS = 16;
  private static final int WAVES = 3;
  private static final long WAVE_MILLIS = 15_000;

  private final Deployment deployment;
  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger downloads = new AtomicInteger();
  private final List<String> lost = new ArrayList<>();
  private final AtomicInteger ends = new AtomicInteger();
  private volatile boolean isEnding;

  private SlowReaders(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("riga-old-town", "riga");
    zones.put("riga-agenskalns", "riga");
    Case.run(
        arguments,
        zones,
        (deployment, isTroubled) -> new SlowReaders(deployment).run(isTroubled));
  }

  private boolean run(boolean isTroubled) throws Exception {
    deployment.addService(SERVICE);
    deployment.addRoute("r-manual", "/manual/", "download", SERVICE, 15_000);
    deployment.addRoute("r-order", "/order/", "unsafe", SERVICE, 5_000);
    deployment.publish(1);
    for (int i = 1; i <= 6; i++) {
      String zone = i % 2 == 0 ? "riga-old-town" : "riga-agenskalns";
      deployment.addBackend("i-" + i, SERVICE, zone, 40, this::work);
    }
    Deployment.Vm vm = deployment.addVm("front-a-1", "127.0.0.11", "riga-old-town");
    vm.start();
    deployment.awaitReady();
    List<Thread> others = new ArrayList<>();
    for (int i = 0; i < OTHERS; i++) {
      others.add(start(() -> order(vm)));
    }
    start(() -> restart(vm));
    Thread.sleep(3_000);
    for (int wave = 1; wave <= WAVES; wave++) {
      long endsAt = System.currentTimeMillis() + WAVE_MILLIS;
      for (int i = 0; i < SLOW_CLIENTS; i++) {
        start(() -> download(vm, isTroubled));
        Thread.sleep(50);
      }
      deployment.note("wave " + wave + ": all downloads asked for");
      Thread.sleep(Math.max(0, endsAt - System.currentTimeMillis()));
    }
    isEnding = true;
    for (Thread other : others) {
      other.join(8_000);
    }
    deployment.noteLog(vm, "OutOfMemory", 5);
    deployment.note(
        "downloads answered " + downloads + "; orders answered " + answered + ", refused " + refused
            + ", closed without an answer though run " + lost.size() + "; the process of "
            + vm.name + " ended by itself " + ends + " times");
    lost.stream().limit(20).forEach(each -> deployment.note("LOST " + each));
    return lost.size() <= 3;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Starts the process again a second after it has ended, as the platform does. */
  private void restart(Deployment.Vm vm) {
    while (!isEnding) {
      if (!vm.process.isAlive()) {
        ends.incrementAndGet();
        deployment.note(
            "process of " + vm.name + " ended by itself with code " + vm.process.exitValue());
        sleep(1_000);
        try {
          vm.start();
        } catch (IOException e) {
          deployment.note("not started again: " + e);
          return;
        }
      }
      sleep(100);
    }
  }

  /** Sends one request after the other on a kept connection. */
  private void order(Deployment.Vm vm) {
    while (!isEnding) {
      try (Client client = new Client(vm.ip, vm.callersPort())) {
        while (!isEnding) {
          String id = Long.toHexString(new Random().nextLong());
          String outcome;
          try {
            client.write(Client.head("POST", "/order/2f", id, 4_000, "Content-Length: 0\r\n"));
            Client.Answer answer = client.read(8_000);
            if (answer != null) {
              (answer.status() == 200 ? answered : refused).incrementAndGet();
              Thread.sleep(100);
              continue;
            }
            outcome = "closed";
          } catch (IOException e) {
            outcome = e.toString();
          }
          if (run.contains(id)) {
            synchronized (lost) {
              lost.add(id + " was run, then the connection ended: " + outcome);
            }
          } else {
            deployment.note("order " + id + " not run: " + outcome);
          }
          break;
        }
      } catch (IOException e) {
        sleep(500);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void download(Deployment.Vm vm, boolean isSlow) {
    try (Client client = new Client(vm.ip, vm.callersPort(), isSlow ? 16_384 : 0)) {
      for (int i = 0; i < PIPELINED; i++) {
        String id = Long.toHexString(new Random().nextLong());
        client.write(Client.head("GET", "/manual/" + i, id, 15_000, ""));
      }
      if (isSlow) {
        readSlowly(client.socket());
        return;
      }
      for (int i = 0; i < PIPELINED; i++) {
        Client.Answer answer = client.read(15_000);
        if (answer == null) {
          return;
        }
        downloads.incrementAndGet();
      }
    } catch (IOException e) {
      // The entry VM has closed the connection, or the client has waited long enough.
    }
  }

  /** Reads 16 kB a second until the deadline. */
  private void readSlowly(Socket socket) throws IOException {
    byte[] piece = new byte[4_000];
    for (int i = 0; i < 60; i++) {
      if (socket.getInputStream().read(piece) < 0) {
        return;
      }
      sleep(250);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean work(
      Deployment.Backend backend,
      Http.Head head,
      Http.Body body,
      OutputStream out,
      Socket connection)
      throws IOException, InterruptedException {
    String id = head.header("request-id");
    boolean isDownload = head.target().startsWith("/manual/");
    run.add(id);
    Thread.sleep(isDownload ? 20 : 400);
    Server.respond(
        out,
        200,
        "OK",
        "Request-Id: " + id + "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 1,0,40\r\n",
        new byte[isDownload ? DOWNLOAD_BYTES : 400]);
    return true;
  }
}
