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
 * Sends requests through sageladder: asks which entry VM to use, keeps the answer for its time to
 * live, carries permits and sends again only where that is safe.
 *
 * <pre>{@code
 * ClientOptions options = ClientOptions.seeds(List.of("127.0.0.1:8080", "127.0.0.1:8081"));
 * try (SageladderClient client = SageladderClient.start(options)) {
 *   Answer answer =
 *       client.send(
 *           Request.post("kannelkoda", "cataloguing", 17, "/donations", record, "application/json")
 *               .deadline(Duration.ofSeconds(5)));
 *   if (answer instanceof Answer.Whole whole) {
 *     System.out.println("registered: " + whole.status());
 *   } else if (answer instanceof Answer.NotRun notRun) {
 *     System.out.println("not registered, send again in " + notRun.retryAfter());
 *   } else if (answer instanceof Answer.Unknown unknown) {
 *     // Never send it anew: ask again what became of this very permit.
 *     Answer later = client.resume(request, unknown.permit());
 *   }
 * }
 * }</pre>
 *
 * <p>Calls block until the answer or the deadline, so each takes one thread of the caller's. The
 * client is safe for use by several threads; one per process is enough.
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

  /** A client; nothing is sent before the first request. */
  public static SageladderClient start(ClientOptions options) {
    return new SageladderClient(options);
  }

  /** Sends a request and waits; an answer above {@code mostBodyBytes} counts as lost. */
  public Answer send(Request request) {
    return execute(request, null, "");
  }

  /** Sends a request whose answer's body goes to {@code sink} as it comes. */
  public Answer send(Request request, BodySink sink) {
    return execute(request, sink, "");
  }

  /**
   * Fetches a large answer to a repeatable {@code GET}: where it is cut, the rest is asked for by
   * range if the target gives a strong entity tag, else the fetch begins anew. Waits and tries go
   * on until the answer is whole or the request's deadline, which may be a whole night, has passed.
   *
   * <pre>{@code
   * Request export = Request.get("kannelkoda", "export-audio", 5, "/exports/77");
   * Answer answer = client.fetch(export.deadline(Duration.ofHours(8)), sink);
   * boolean complete = answer instanceof Answer.Whole whole && whole.status() < 300;
   * }</pre>
   *
   * @param sink gets one answer from its first byte to its last; {@link BodySink#begin} drops what
   *     came before
   * @return {@link Response.Whole} with status 200 or 206 only where the sink holds the whole
   *     answer
   * @throws IllegalArgumentException where the method is not {@code GET}
   */
  public Answer fetch(Request request, BodySink sink) {
    return ResumableDownload.of(
            (part, parts, number) -> new RequestExecution(part, parts, "", 1, number).execute(),
            request,
            sink)
        .execute();
  }

  /**
   * Sends a request whose outcome was {@link Response.Unauthenticated} again under the same permit,
   * so that it cannot run a second time.
   *
   * @throws IllegalArgumentException where {@code permit} is empty
   */
  public Answer resume(Request request, String permit) {
    if (permit.isEmpty()) {
      throw new IllegalArgumentException("no permit: expected that of the unknown answer");
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

  /** One request from its look-up to its end. */
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
      RetryPolicy rules =
          resumed
              ? RetryPolicy.resume(resumedPermit)
              : RetryPolicy.begin(route.needsPermit(), route.permit());
      retryBudget.recordFirstAttempt();
      int retries = 0;
      for (int questions = 0; questions < MAX_UNCOUNTED_ATTEMPTS; ) {
        EntryAddress entry = route.entries().get(nextEntryIndex++ % route.entries().size());
        boolean last = retries + 1 >= maxAttempts;
        RetryPolicy.Step step = rules.onResult(attempt(entry, rules.permit(), last));
        if (step instanceof RetryPolicy.Step.End end) {
          return end.answer();
        }
        if (step instanceof RetryPolicy.Step.Resend again) {
          boolean allowed = again.isUncounted() || tryAcquireRetry(++retries);
          questions += again.isUncounted() ? 1 : 0;
          boolean atOnce = again.isRefusal() && skipsPauseAfterRefusal(again.pause(), route);
          Duration pause = atOnce ? Duration.ZERO : again.pause();
          if (!allowed || !pause(pause, retries + questions)) {
            return again.answerIfExhausted();
          }
          route = routeCache.findUnexpired(routeKey).orElse(route);
          continue;
        }
        RetryPolicy.Step.RenewPermit renew = (RetryPolicy.Step.RenewPermit) step;
        if (!rules.lacksPermit()) {
          // The refusal brought the permit it asked for: no work was tried, so nothing is retried,
          // and the entry VM that gave the permit is its home.
          questions++;
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
        rules.usePermit(renewed.permit());
        nextEntryIndex = 0;
        route = renewed;
      }
      return new Answer.Unknown(
          ResultCode.OUTCOME_UNKNOWN, rules.permit(), "asked too often", nextEntryIndex);
    }

    /**
     * True where, after a refusal, the next entry VM of the look-up is asked without waiting.
     *
     * <p>When to come back binds for the entry VM that said it; another may have room now. Failure
     * guarded against: a bid waited at a full gate, was told to come back later, and came back to
     * the same gate, while a neighbour let others in at once. Only every second refusal is passed
     * over so, or callers of a full region would ask all its gates at once and over again.
     */
    private boolean skipsPauseAfterRefusal(Duration retryAfter, Route route) {
      return !retryAfter.isZero() && route.entries().size() > 1 && ++refusalCount % 2 == 1;
    }

    private boolean tryAcquireRetry(int retries) {
      return retries < maxAttempts && retryBudget.tryAcquire();
    }

    /** One try; the last one has all the time that is left, since no other could use it. */
    private AttemptResult attempt(EntryAddress entry, String permit, boolean isLast) {
      Duration left = remainingTime();
      if (left.isZero()) {
        return new AttemptResult.NotSent("the deadline is over");
      }
      long share =
          isLast ? left.toNanos() : (long) (left.toNanos() * options.attemptTimeoutFraction());
      Duration wait = Duration.ofNanos(Math.max(share, MIN_ATTEMPT_TIMEOUT.toNanos()));
      return entryClient.send(entry, request, permit, left, wait, sink);
    }

    /** A route to start with; a request under a permit of its own always needs a new look-up. */
    private @Nullable Route findRoute() {
      Optional<Route> kept = routeCache.findUnexpired(routeKey);
      boolean usable = kept.isPresent() && (!kept.get().needsPermit() || !resumedPermit.isEmpty());
      return usable ? kept.get() : lookUp();
    }

    /**
     * Asks the entry VMs of the last answer first: the best of them is then home to the permit and
     * holds the gate, which saves a hop.
     */
    private @Nullable Route lookUp() {
      Set<EntryAddress> asked = new LinkedHashSet<>();
      Optional<Route> known = routeCache.findIncludingExpired(routeKey);
      known.ifPresent(route -> asked.addAll(route.entries()));
      asked.addAll(shuffledSeeds());
      for (EntryAddress entry : asked) {
        Duration left = remainingTime();
        if (left.isZero()) {
          return null;
        }
        long share = (long) (left.toNanos() * options.attemptTimeoutFraction());
        EntryClient.LookUpResult found =
            entryClient.lookUp(entry, routeKey, Duration.ofNanos(share));
        if (found instanceof EntryClient.LookUpResult.RouteFound at) {
          routeCache.put(routeKey, at.route());
          return at.route();
        }
        lookUpFailures.add(((EntryClient.LookUpResult.NoRoute) found).failure());
      }
      return known.filter(route -> !route.needsPermit()).orElse(null);
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
        if (failure instanceof AttemptResult.EntryVmResult said) {
          return new Answer.NotRun(said.code(), said.retryAfter(), said.detail(), 0);
        }
      }
      return new Answer.NotRun(ResultCode.NO_TARGET, MAX_PAUSE, detail, 0);
    }

    private Duration remainingTime() {
      return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /** Waits for at least {@code asked}, with jitter; false where the deadline would pass. */
    private boolean pause(Duration minPause, int attemptsSoFar) {
      long floor = Math.min(minPause.toNanos(), MAX_PAUSE.toNanos());
      long spread = Duration.ofMillis(5L << Math.min(attemptsSoFar, 6)).toNanos();
      long nanos = floor + ThreadLocalRandom.current().nextLong(spread);
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
