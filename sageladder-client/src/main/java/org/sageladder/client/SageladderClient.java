package org.sageladder.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.time.TimeSource;

/**
 * Sends requests through sageladder: looks up which entry VM to use, caches the route for its time
 * to live, manages permits, and retries only if that is safe.
 *
 * <pre>{@code
 * ClientOptions options = ClientOptions.seeds(List.of("127.0.0.1:8080", "127.0.0.1:8081"));
 * try (SageladderClient client = SageladderClient.start(options)) {
 *   Answer answer =
 *       client.send(
 *           Request.post("kannelkoda", "cataloguing", 17, "/donations", record, "application/json")
 *               .deadline(Duration.ofSeconds(5)));
 *   if (answer instanceof Answer.Complete complete) {
 *     System.out.println("registered: " + complete.status());
 *   } else if (answer instanceof Answer.NotRun notRun) {
 *     System.out.println("not registered, retry in " + notRun.retryAfter());
 *   } else if (answer instanceof Answer.Unknown unknown) {
 *     // Sending a new request could run it twice: query the outcome of this permit.
 *     Answer resumed = client.resume(request, unknown.permit());
 *   }
 * }
 * }</pre>
 *
 * <p>Calls block the calling thread until the outcome is known or the deadline has passed. The
 * client is thread-safe; one instance per process is enough.
 */
public final class SageladderClient implements AutoCloseable {
  private static final Duration MAX_PAUSE = Duration.ofSeconds(1);
  private static final Duration MIN_ATTEMPT_TIMEOUT = Duration.ofMillis(5);
  private static final int MAX_UNCOUNTED_ATTEMPTS = 200;

  private final ClientOptions options;
  private final EntryClient entryClient;
  private final RouteCache routeCache;
  private final RetryBudget retryBudget;
  private final List<EntryAddress> seeds;

  private SageladderClient(ClientOptions options) {
    this.options = options;
    this.routeCache = RouteCache.create(TimeSource.system());
    this.entryClient = EntryClient.start(options, routeCache::expireRoutesTo);
    this.retryBudget = RetryBudget.create(options.retryFraction());
    this.seeds = options.seeds().stream().map(EntryAddress::parse).toList();
  }

  /** Creates a client; it sends nothing before the first request. */
  public static SageladderClient start(ClientOptions options) {
    return new SageladderClient(options);
  }

  /**
   * Sends a request and waits for its outcome; a response body above {@link
   * ClientOptions#maxBodyBytes} counts as lost.
   */
  public Answer send(Request request) {
    return execute(request, null, "");
  }

  /** Sends a request and streams the body of its response to {@code sink}. */
  public Answer send(Request request, BodySink sink) {
    return execute(request, sink, "");
  }

  /**
   * Downloads a large response to a repeatable {@code GET}. If the response is truncated, the rest
   * is requested by range if the target sends a strong entity tag; otherwise the download restarts.
   * Retries continue until the response is complete or the request's deadline, which may be hours
   * away, has passed.
   *
   * <pre>{@code
   * Request export = Request.get("kannelkoda", "export-audio", 5, "/exports/77");
   * Answer answer = client.fetch(export.deadline(Duration.ofHours(8)), sink);
   * boolean success = answer instanceof Answer.Complete complete && complete.status() < 300;
   * }</pre>
   *
   * @param sink receives one response from its first byte to its last; {@link BodySink#begin}
   *     discards what was received before
   * @return {@link Answer.Complete} with status 200 or 206 only if the sink has received the
   *     complete response
   * @throws IllegalArgumentException if the method is not {@code GET}
   */
  public Answer fetch(Request request, BodySink sink) {
    return ResumableDownload.of(
            (part, partSink, partNumber) ->
                new RequestExecution(part, partSink, "", 1, partNumber).execute(),
            request,
            sink)
        .execute();
  }

  /**
   * Resends a request whose outcome was {@link Answer.Unknown} under the same permit, so that it
   * cannot run a second time.
   *
   * @throws IllegalArgumentException if {@code permit} is empty
   */
  public Answer resume(Request request, String permit) {
    if (permit.isEmpty()) {
      throw new IllegalArgumentException("no permit: expected the permit of an unknown outcome");
    }
    return execute(request, null, permit);
  }

  @Override
  public void close() {
    entryClient.close();
  }

  private Answer execute(Request request, @Nullable BodySink sink, String resumedPermit) {
    return new RequestExecution(request, sink, resumedPermit, options.maxAttempts(), 0).execute();
  }

  /** Executes one request, from its look-up to its outcome. */
  private final class RequestExecution {
    private final Request request;
    private final @Nullable BodySink sink;
    private final RouteCache.Key routeKey;
    private final long deadlineNanos;
    private final String resumedPermit;
    private final List<AttemptResult> lookUpFailures = new ArrayList<>();
    private final int maxAttempts;
    private int nextEntryIndex;
    private int refusalCount;

    RequestExecution(
        Request request,
        @Nullable BodySink sink,
        String resumedPermit,
        int maxAttempts,
        int firstEntryIndex) {
      this.maxAttempts = maxAttempts;
      this.nextEntryIndex = firstEntryIndex;
      this.request = request;
      this.sink = sink;
      this.resumedPermit = resumedPermit;
      this.routeKey = new RouteCache.Key(request.contract(), request.service(), request.block());
      this.deadlineNanos = System.nanoTime() + request.deadline().toNanos();
    }

    Answer execute() {
      Route route = findRoute();
      if (route == null) {
        return noRouteAnswer();
      }
      boolean resumed = !resumedPermit.isEmpty();
      RetryPolicy policy =
          resumed
              ? RetryPolicy.resume(resumedPermit)
              : RetryPolicy.begin(route.needsPermit(), route.permit());
      retryBudget.recordFirstAttempt();
      int retries = 0;
      for (int uncountedAttempts = 0; uncountedAttempts < MAX_UNCOUNTED_ATTEMPTS; ) {
        EntryAddress entry = route.entries().get(nextEntryIndex++ % route.entries().size());
        boolean isLast = retries + 1 >= maxAttempts;
        RetryPolicy.Step step = policy.onResult(attempt(entry, policy.permit(), isLast));
        if (step instanceof RetryPolicy.Step.End end) {
          return end.answer();
        }
        if (step instanceof RetryPolicy.Step.Resend resend) {
          boolean allowed = resend.isUncounted() || tryAcquireRetry(++retries);
          uncountedAttempts += resend.isUncounted() ? 1 : 0;
          boolean skipsPause = resend.isRefusal() && skipsPauseAfterRefusal(resend.pause(), route);
          Duration pause = skipsPause ? Duration.ZERO : resend.pause();
          if (!allowed || !pause(pause, retries + uncountedAttempts)) {
            return resend.answerIfExhausted();
          }
          route = routeCache.findUnexpired(routeKey).orElse(route);
          continue;
        }
        RetryPolicy.Step.RenewPermit renew = (RetryPolicy.Step.RenewPermit) step;
        if (!policy.lacksPermit()) {
          // The refusal came with the required permit. No work was attempted, so this is not a
          // retry, and the same entry VM is used again, as it issued the permit.
          uncountedAttempts++;
          nextEntryIndex--;
          continue;
        }
        if (!tryAcquireRetry(++retries)) {
          return renew.answerIfExhausted();
        }
        if (skipsPauseAfterRefusal(renew.pause(), route)) {
          continue;
        }
        if (!pause(renew.pause(), retries)) {
          return renew.answerIfExhausted();
        }
        Route renewed = lookUp();
        if (renewed == null) {
          return renew.answerIfExhausted();
        }
        policy.usePermit(renewed.permit());
        nextEntryIndex = 0;
        route = renewed;
      }
      return new Answer.Unknown(
          ResultCode.OUTCOME_UNKNOWN,
          policy.permit(),
          "gave up: too many attempts without a definite outcome",
          nextEntryIndex);
    }

    /**
     * Returns true if, after a refusal, the next entry VM of the route is tried without waiting.
     *
     * <p>A retry-after time only applies to the entry VM that sent it; another one may have
     * capacity now. Otherwise a request that was refused at a full queue would wait and return to
     * the same queue, while another entry VM would have admitted it at once. Only every second
     * refusal skips the wait, or callers of a full region would retry at all its entry VMs in a
     * tight loop.
     */
    private boolean skipsPauseAfterRefusal(Duration retryAfter, Route route) {
      return !retryAfter.isZero() && route.entries().size() > 1 && ++refusalCount % 2 == 1;
    }

    private boolean tryAcquireRetry(int retries) {
      return retries < maxAttempts && retryBudget.tryAcquire();
    }

    /** Makes one attempt; the last one may use all the remaining time, as no other follows. */
    private AttemptResult attempt(EntryAddress entry, String permit, boolean isLast) {
      Duration remaining = remainingTime();
      if (remaining.isZero()) {
        return new AttemptResult.NotSent("the deadline has passed");
      }
      long timeoutNanos =
          isLast
              ? remaining.toNanos()
              : (long) (remaining.toNanos() * options.attemptTimeoutFraction());
      Duration attemptTimeout =
          Duration.ofNanos(Math.max(timeoutNanos, MIN_ATTEMPT_TIMEOUT.toNanos()));
      return entryClient.send(entry, request, permit, remaining, attemptTimeout, sink);
    }

    /** Returns the initial route; a request that needs a new permit always needs a new look-up. */
    private @Nullable Route findRoute() {
      Optional<Route> cached = routeCache.findUnexpired(routeKey);
      boolean usable =
          cached.isPresent() && (!cached.get().needsPermit() || !resumedPermit.isEmpty());
      return usable ? cached.get() : lookUp();
    }

    /**
     * Tries the entry VMs of the last route first: the preferred one then issues the permit and
     * also admits the request, which saves a hop.
     */
    private @Nullable Route lookUp() {
      Set<EntryAddress> candidates = new LinkedHashSet<>();
      Optional<Route> lastRoute = routeCache.findIncludingExpired(routeKey);
      lastRoute.ifPresent(route -> candidates.addAll(route.entries()));
      candidates.addAll(shuffledSeeds());
      for (EntryAddress entry : candidates) {
        Duration remaining = remainingTime();
        if (remaining.isZero()) {
          return null;
        }
        long timeoutNanos = (long) (remaining.toNanos() * options.attemptTimeoutFraction());
        EntryClient.LookUpResult result =
            entryClient.lookUp(entry, routeKey, Duration.ofNanos(timeoutNanos));
        if (result instanceof EntryClient.LookUpResult.RouteFound found) {
          routeCache.put(routeKey, found.route());
          return found.route();
        }
        lookUpFailures.add(((EntryClient.LookUpResult.NoRoute) result).failure());
      }
      return lastRoute.filter(route -> !route.needsPermit()).orElse(null);
    }

    private List<EntryAddress> shuffledSeeds() {
      List<EntryAddress> shuffled = new ArrayList<>(seeds);
      Collections.shuffle(shuffled, ThreadLocalRandom.current());
      return shuffled;
    }

    private Answer noRouteAnswer() {
      List<String> details = lookUpFailures.stream().map(EntryClient::describe).toList();
      String detail = "no entry VM answered the look-up: " + String.join("; ", details);
      if (!resumedPermit.isEmpty()) {
        return new Answer.Unknown(ResultCode.OUTCOME_UNKNOWN, resumedPermit, detail, 0);
      }
      for (AttemptResult failure : lookUpFailures) {
        if (failure instanceof AttemptResult.EntryVmResult refusal) {
          return new Answer.NotRun(refusal.code(), refusal.retryAfter(), refusal.detail(), 0);
        }
      }
      return new Answer.NotRun(ResultCode.NO_TARGET, MAX_PAUSE, detail, 0);
    }

    private Duration remainingTime() {
      return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /**
     * Waits for {@code minPause}, capped at {@link #MAX_PAUSE}, plus a jitter whose bound doubles
     * with each attempt; returns false if the deadline would pass.
     */
    private boolean pause(Duration minPause, int attemptsSoFar) {
      long minNanos = Math.min(minPause.toNanos(), MAX_PAUSE.toNanos());
      long jitterNanos = Duration.ofMillis(5L << Math.min(attemptsSoFar, 6)).toNanos();
      long nanos = minNanos + ThreadLocalRandom.current().nextLong(jitterNanos);
      if (nanos >= remainingTime().toNanos()) {
        return false;
      }
      try {
        TimeUnit.NANOSECONDS.sleep(nanos);
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
  }
}
