import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry VM: the command of the deploy file as a process, with a settings file of its own. */
final class Vm {
  final String name;
  final String host;
  final String zone;
  final String region;
  final Ports ports;
  private final Path settings;
  private final Path output;
  private Process process;

  /** The same ports on all machines. */
  record Ports(int front, int ready, int control, int directory, int internal) {}

  Vm(String name, String host, String zone, String region, Ports ports, Path folder) {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.region = region;
    this.ports = ports;
    this.settings = folder.resolve(name + ".toml");
    this.output = folder.resolve(name + ".log");
  }

  void writeSettings(String store, Map<String, String> zones, String bounds, boolean bootstrap)
      throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("node_name = \"" + name + "\"\nrole = \"entry\"\nmachine_class = \"front\"\n");
    text.append("serves = [\"front\",\"directory\"]\nip = \"" + host + "\"\n");
    text.append("zone = \"" + zone + "\"\nregion = \"" + region + "\"\n");
    text.append("internal_ports = [" + ports.internal() + "," + (ports.internal() + 15) + "]\n");
    text.append("seeds = []\nbootstrap = " + bootstrap + "\nin_loss_budget = false\n");
    text.append("discovery = \"platform\"\nentry = \"directory\"\nheartbeat = \"1500ms\"\n");
    text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",");
    text.append("\"places\",\"tenants\",\"quota\",\"platform\"]\n[zones]\n");
    zones.forEach((z, r) -> text.append(z + " = \"" + r + "\"\n"));
    text.append("[listen]\n");
    text.append("front = \"" + host + ":" + ports.front() + "\"\n");
    text.append("ready = \"" + host + ":" + ports.ready() + "\"\n");
    text.append("control = \"" + host + ":" + ports.control() + "\"\n");
    text.append("directory = \"" + host + ":" + ports.directory() + "\"\n");
    text.append("[limits]\ncpu_share = 0.6\ncores = 1\nmemory_mb = 430\nmax_fds = 4100\n");
    text.append("link_mbps = 1000.0\ndisk_mb = 0\n");
    text.append("[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 1\n[bounds]\n");
    text.append(bounds);
    text.append("[provider]\naddress = \"" + store + "\"\nform = \"kv\"\nwrites_per_s = 400\n");
    text.append("reads_per_s = 2000\nhistory = \"20s\"\nvalue_bytes = 1048576\n");
    text.append("ttl_min = \"1000ms\"\n");
    Files.writeString(settings, text);
  }

  /** The words of {@code run} of the role in deploy/system.toml. */
  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no line with run");
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("SAGELADDER_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = builder.start();
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Sends a signal to the process that this object started. */
  void signal(String signal) throws IOException, InterruptedException {
    // The shell's own kill: a small machine may have no program of that name.
    new ProcessBuilder("sh", "-c", "kill -" + signal + " " + pid()).start().waitFor();
  }

  /** Ends the process, whatever state it is in. */
  void end() throws InterruptedException {
    if (isAlive()) {
      process.destroyForcibly();
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }

  boolean isReady() {
    try {
      URL url = URI.create("http://" + host + ":" + ports.ready() + "/readiness").toURL();
      HttpURLConnection call = (HttpURLConnection) url.openConnection();
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Addresses that this VM's directory names, or an empty list without a good answer. */
  List<String> resolve(String forZone, String forRegion, int timeoutMillis) {
    try {
      URL url =
          URI.create(
                  "http://"
                      + host
                      + ":"
                      + ports.directory()
                      + "/resolve?name=a.example&region="
                      + forRegion
                      + "&zone="
                      + forZone)
              .toURL();
      HttpURLConnection call = (HttpURLConnection) url.openConnection();
      call.setConnectTimeout(timeoutMillis);
      call.setReadTimeout(timeoutMillis);
      if (call.getResponseCode() != 200) {
        return List.of();
      }
      String body = new String(call.getInputStream().readAllBytes());
      Map<?, ?> answer = (Map<?, ?>) Json.parse(body);
      return ((List<?>) answer.get("addresses")).stream().map(String.class::cast).toList();
    } catch (IOException e) {
      return List.of();
    }
  }

  String log() throws IOException {
    return Files.exists(output) ? Files.readString(output) : "";
  }
}
