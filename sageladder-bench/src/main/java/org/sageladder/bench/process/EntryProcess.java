package org.sageladder.bench.process;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One entry daemon in a process of its own, which can be killed, paused, stopped and restarted. */
public final class EntryProcess {
  private static final String HOST = "127.0.0.1";

  private final String vm;
  private final String zone;
  private final int callersPort;
  private final int innerPort;
  private final Path settings;
  private final Path log;
  private final int heapMegabytes;
  private Process process;

  private EntryProcess(
      String vm,
      String zone,
      int callersPort,
      int innerPort,
      Path settings,
      Path log,
      int heapMegabytes,
      Process process) {
    this.vm = vm;
    this.zone = zone;
    this.callersPort = callersPort;
    this.innerPort = innerPort;
    this.settings = settings;
    this.log = log;
    this.heapMegabytes = heapMegabytes;
    this.process = process;
  }

  /** Starts a daemon and returns once its ports are open. */
  public static EntryProcess start(
      Path folder, String vm, String zone, String customer, String storeUri, int heapMegabytes)
      throws IOException {
    int[] ports = freePorts();
    Path settings = folder.resolve(vm + ".yaml");
    Files.writeString(
        settings,
        String.join(
            "\n",
            "vm: " + vm,
            "customer: " + customer,
            "zone: " + zone,
            "host: " + HOST,
            "ports: {callers: " + ports[0] + ", inner: " + ports[1] + ", operators: 0}",
            "store: {uri: '" + storeUri + "', timeout: 1s}",
            "vmList: {uri: '" + storeUri + "', every: 200ms}",
            "callerLimits: {workers: 2}",
            ""));
    Path log = folder.resolve(vm + ".log");
    Process process = launch(settings, log, heapMegabytes);
    return new EntryProcess(vm, zone, ports[0], ports[1], settings, log, heapMegabytes, process);
  }

  /** Ports that were free a moment ago; a restarted daemon has to come back on the same ones. */
  private static int[] freePorts() throws IOException {
    try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket second = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new int[] {first.getLocalPort(), second.getLocalPort()};
    }
  }

  private static Process launch(Path settings, Path log, int heapMegabytes) throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                java,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMegabytes + "m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.sageladder.entry.EntryMain",
                "--settings",
                settings.toString()));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    Process process = builder.start();
    BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
    String ready = output.readLine();
    if (ready == null || !ready.startsWith("ready ")) {
      throw new IOException(
          "the entry daemon of " + settings + " did not start; its log is " + log);
    }
    return process;
  }

  /** Starts the daemon anew after its end. */
  public void restart() throws IOException {
    process = launch(settings, log, heapMegabytes);
  }

  /** Ends the process at once, as a crash would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** SIGTERM: asks for a planned stop; returns at once. */
  public void terminate() {
    process.toHandle().destroy(); // unlike Process.destroy, it leaves the output open
  }

  /** Exit code, or -1 where the process has not ended within {@code seconds}. */
  public int awaitEnd(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  /** What an ended daemon printed last of itself: how its planned stop went. */
  public String lastWords() throws IOException {
    return process.inputReader(StandardCharsets.UTF_8).lines().reduce("", (first, last) -> last);
  }

  /** SIGSTOP: the process stands still and does not know it. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** SIGCONT. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Name of the entry VM. */
  public String vm() {
    return vm;
  }

  /** Its availability zone. */
  public String zone() {
    return zone;
  }

  /** The port that callers use. */
  public int callersPort() {
    return callersPort;
  }

  /** The port of the inner protocol. */
  public int innerPort() {
    return innerPort;
  }

  /** Process id. */
  public long pid() {
    return process.pid();
  }

  /** True while the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }
}
