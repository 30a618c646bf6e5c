package org.sageladder.bench.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sageladder.client.Answer;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.standin.target.AnswerPattern;
import org.sageladder.standin.target.RequestChecksum;

/**
 * Sends numbered requests to one service from several threads and records the outcome of each.
 *
 * @param client client that sends the requests
 * @param contract customer whose contract is used
 * @param service service that is called
 * @param name prefix of the request keys, which are {@code name-0}, {@code name-1} and so on
 * @param deadline deadline of each request
 * @param answerBytes size of each response body
 */
public record Workload(
    SageladderClient client,
    String contract,
    String service,
    String name,
    Duration deadline,
    int answerBytes) {
  private static final long MAX_RUN_MINUTES = 10;

  /**
   * Outcome of one request.
   *
   * @param isOwnAnswer false if a complete response belongs to another request
   */
  public record CompletedRequest(Answer answer, boolean isOwnAnswer) {}

  /** Sends {@code count} requests from {@code threads} threads and waits for all outcomes. */
  public Map<String, CompletedRequest> send(int count, int threads) throws InterruptedException {
    Map<String, CompletedRequest> completed = new ConcurrentHashMap<>();
    AtomicInteger next = new AtomicInteger();
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    for (int t = 0; t < threads; t++) {
      pool.execute(
          () -> {
            for (int i = next.getAndIncrement(); i < count; i = next.getAndIncrement()) {
              String key = name + "-" + i;
              completed.put(key, sendOne(key, i));
            }
          });
    }
    pool.shutdown();
    if (!pool.awaitTermination(MAX_RUN_MINUTES, TimeUnit.MINUTES)) {
      pool.shutdownNow();
      throw new IllegalStateException("the workload did not finish in time");
    }
    return completed;
  }

  private CompletedRequest sendOne(String key, int number) {
    String path = "/work?work=" + key + "&answerBytes=" + answerBytes;
    byte[] body = ("body of " + key).getBytes(StandardCharsets.UTF_8);
    Request request =
        Request.post(contract, service, number % 1000, path, body, "text/plain")
            .deadline(deadline)
            .id(key);
    Answer answer = client.send(request);
    boolean isOwnAnswer =
        !(answer instanceof Answer.Complete complete) || isOwnAnswer(complete, path, body);
    return new CompletedRequest(answer, isOwnAnswer);
  }

  private boolean isOwnAnswer(Answer.Complete complete, String path, byte[] body) {
    long checksum = RequestChecksum.of("POST", path, body);
    AnswerPattern.Checker checker = AnswerPattern.checker(checksum);
    checker.add(ByteBuffer.wrap(complete.body()));
    boolean hasMatchingChecksum =
        complete.header("Request-Checksum").filter(String.valueOf(checksum)::equals).isPresent();
    return complete.status() != 200
        || (hasMatchingChecksum && checker.matches() && checker.length() == answerBytes);
  }
}
