package org.sageladder.bench.whole;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.AnswerPattern;
import org.sageladder.standin.target.RequestChecksum;

/** Downloads and uploads recordings that are larger than the entry daemon's heap. */
final class Recordings {
  private static final long RECORDING_BYTES = 128L << 20;
  private static final int PARALLEL_TRANSFERS = 4;
  private static final int CHUNK_BYTES = 1 << 16;

  private final TestBed bed;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  Recordings(TestBed bed) {
    this.bed = bed;
  }

  /** Transfers all recordings and returns how many arrived complete and correct. */
  int transferAll() throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(PARALLEL_TRANSFERS * 2);
    List<Future<Boolean>> results = new ArrayList<>();
    for (int i = 0; i < PARALLEL_TRANSFERS; i++) {
      int number = i;
      Callable<Boolean> fetching = () -> fetch(number, number == 0);
      Callable<Boolean> sending = () -> send(number);
      results.add(pool.submit(fetching));
      results.add(pool.submit(sending));
    }
    int correctCount = 0;
    for (Future<Boolean> each : results) {
      correctCount += each.get() ? 1 : 0;
    }
    pool.shutdown();
    return correctCount;
  }

  static int transferCount() {
    return PARALLEL_TRANSFERS * 2;
  }

  private boolean fetch(int number, boolean isSlow) throws IOException, InterruptedException {
    String path = "/recordings?answerBytes=" + RECORDING_BYTES + "&work=fetch" + number;
    HttpResponse<InputStream> response =
        client.send(request(path, number).GET().build(), HttpResponse.BodyHandlers.ofInputStream());
    AnswerPattern.Checker checker =
        AnswerPattern.checker(RequestChecksum.of("GET", path, new byte[0]));
    byte[] chunk = new byte[CHUNK_BYTES];
    try (InputStream body = response.body()) {
      for (int length = body.read(chunk); length >= 0; length = body.read(chunk)) {
        checker.add(ByteBuffer.wrap(chunk, 0, length));
        if (isSlow && checker.length() % (8 << 20) < CHUNK_BYTES) {
          Thread.sleep(20);
        }
      }
    }
    return checker.matches() && checker.length() == RECORDING_BYTES;
  }

  /**
   * Uploads a recording; the checksum that the target returns shows whether it arrived complete.
   */
  private boolean send(int number) throws IOException, InterruptedException {
    String path = "/recordings?answerBytes=16&work=send" + number;
    RequestChecksum checksum = RequestChecksum.begin("POST", path);
    ByteBuffer chunk = ByteBuffer.allocate(CHUNK_BYTES);
    for (long at = 0; at < RECORDING_BYTES; at += CHUNK_BYTES) {
      chunk.clear();
      AnswerPattern.fill(number, at, chunk);
      checksum.add(chunk.flip());
    }
    HttpResponse<byte[]> response =
        client.send(
            request(path, number)
                .POST(
                    HttpRequest.BodyPublishers.fromPublisher(
                        HttpRequest.BodyPublishers.ofInputStream(() -> new PatternStream(number)),
                        RECORDING_BYTES))
                .build(),
            HttpResponse.BodyHandlers.ofByteArray());
    long received = response.headers().firstValueAsLong("Request-Checksum").orElse(-1);
    return response.statusCode() == 200 && received == checksum.value();
  }

  private HttpRequest.Builder request(String path, int number) {
    EntryProcess entry = bed.entries().get(number % bed.entries().size());
    return HttpRequest.newBuilder(
            URI.create(
                "http://127.0.0.1:"
                    + entry.callersPort()
                    + "/v1/request/"
                    + TestBed.CUSTOMER
                    + "/archive"
                    + path))
        .timeout(Duration.ofMinutes(3))
        .header("Sageladder-Deadline-Millis", "170000");
  }

  /** Peak resident memory of any entry daemon, in megabytes. */
  long peakResidentMegabytes() throws IOException {
    long peak = 0;
    for (EntryProcess entry : bed.entries()) {
      for (String line : Files.readAllLines(Path.of("/proc/" + entry.pid() + "/status"))) {
        if (line.startsWith("VmHWM:")) {
          peak = Math.max(peak, Long.parseLong(line.replaceAll("\\D", "")) / 1024);
        }
      }
    }
    return peak;
  }

  private static final class PatternStream extends InputStream {
    private final long seed;
    private long position;

    PatternStream(long seed) {
      this.seed = seed;
    }

    @Override
    public int read() {
      return position < RECORDING_BYTES ? AnswerPattern.byteAt(seed, position++) & 0xff : -1;
    }

    @Override
    public int read(byte[] into, int offset, int length) {
      if (position >= RECORDING_BYTES) {
        return -1;
      }
      int count = (int) Math.min(length, RECORDING_BYTES - position);
      AnswerPattern.fill(seed, position, ByteBuffer.wrap(into, offset, count));
      position += count;
      return count;
    }
  }
}
