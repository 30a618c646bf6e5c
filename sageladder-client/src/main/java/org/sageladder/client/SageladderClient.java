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
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);
  private static final Duration SHORTEST_TRY = Duration.ofMillis(5);
  private static final int MOST_QUESTIONS = 200;

  private final ClientOptions options;
  private final EntryCalls calls;
  private final RouteCache routes;
  private final RetryBudget budget;
  private final List<EntryAddress> seeds;

  private SageladderClient(ClientOptions options) {
    this.options = options;
    this.routes = RouteCache.create(TimeSource.system());
    this.calls = EntryCalls.start(options, routes::expire);
    this.budget = RetryBudget.create(options.retryFraction());
    this.seeds = options.seeds().stream().map(EntryAddress::parse).toList();
  }

  /** A client; nothing is sent before the first request. */
  public static SageladderClient start(ClientOptions options) {
    return new SageladderClient(options);
  }

  /** Sends a request and waits; an answer above {@code mostBodyBytes} counts as lost. */
  public Answer send(Request request) {
    return run(request, null, "");
  }

  /** Sends a request whose answer's body goes to {@code sink} as it comes. */
  public Answer send(Request request, BodySink sink) {
    return run(request, sink, "");
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
    return Download.of(
            (part, parts, number) -> new Run(part, parts, "", 1, number).go(), request, sink)
        .run();
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
    return run(request, null, permit);
  }

  @Override
  public void close() {
    calls.close();
  }

  private Answer run(Request request, @Nullable BodySink sink, String resumedPermit) {
    return new Run(request, sink, resumedPermit, options.mostTries(), 0).go();
  }

  /** One request from its look-up to its end. */
  private final class Run {
    private final Request request;
    private final @Nullable BodySink sink;
    private final RouteCache.Key key;
    private final long deadline;
    private final String resumedPermit;
    private final List<TryResult> lookUpFailures = new ArrayList<>();
    private final int mostTries;
    private int next;
    private int refusals;

    Run(Request request, @Nullable BodySink sink, String resumedPermit, int mostTries, int first) {
      this.mostTries = mostTries;
      this.next = first;
      this.request = request;
      this.sink = sink;
      this.resumedPermit = resumedPermit;
      this.key = new RouteCache.Key(request.contract(), request.service(), request.block());
      this.deadline = System.nanoTime() + request.deadline().toNanos();
    }

    Answer go() {
      Route route = route();
      if (route == null) {
        return withoutRoute();
      }
      boolean resumed = !resumedPermit.isEmpty();
      RetryRules rules =
          resumed
              ? RetryRules.resume(resumedPermit)
              : RetryRules.begin(route.needsPermit(), route.permit());
      budget.firstTry();
      int retries = 0;
      for (int questions = 0; questions < MOST_QUESTIONS; ) {
        EntryAddress entry = route.entries().get(next++ % route.entries().size());
        boolean last = retries + 1 >= mostTries;
        RetryRules.Step step = rules.after(attempt(entry, rules.permit(), last));
        if (step instanceof RetryRules.Step.End end) {
          return end.answer();
        }
        if (step instanceof RetryRules.Step.Again again) {
          boolean allowed = again.uncounted() || mayRetry(++retries);
          questions += again.uncounted() ? 1 : 0;
          boolean atOnce = again.isRefusal() && goesOnAtOnce(again.pause(), route);
          Duration pause = atOnce ? Duration.ZERO : again.pause();
          if (!allowed || !pause(pause, retries + questions)) {
            return again.ifNoTimeIsLeft();
          }
          route = routes.fresh(key).orElse(route);
          continue;
        }
        RetryRules.Step.Renew renew = (RetryRules.Step.Renew) step;
        if (!rules.lacksPermit()) {
          // The refusal brought the permit it asked for: no work was tried, so nothing is retried,
          // and the entry VM that gave the permit is its home.
          questions++;
          next--;
          continue;
        }
        if (!mayRetry(++retries)) {
          return renew.ifNoTimeIsLeft();
        }
        if (goesOnAtOnce(renew.pause(), route)) {
          continue;
        }
        if (!pause(renew.pause(), retries)) {
          return renew.ifNoTimeIsLeft();
        }
        Route renewed = lookUp();
        if (renewed == null) {
          return renew.ifNoTimeIsLeft();
        }
        rules.renewed(renewed.permit());
        next = 0;
        route = renewed;
      }
      return new Answer.Unknown(
          ResultCode.OUTCOME_UNKNOWN, rules.permit(), "asked too often", next);
    }

    /**
     * True where, after a refusal, the next entry VM of the look-up is asked without waiting.
     *
     * <p>When to come back binds for the entry VM that said it; another may have room now. Failure
     * guarded against: a bid waited at a full gate, was told to come back later, and came back to
     * the same gate, while a neighbour let others in at once. Only every second refusal is passed
     * over so, or callers of a full region would ask all its gates at once and over again.
     */
    private boolean goesOnAtOnce(Duration asked, Route route) {
      return !asked.isZero() && route.entries().size() > 1 && ++refusals % 2 == 1;
    }

    private boolean mayRetry(int retries) {
      return retries < mostTries && budget.take();
    }

    /** One try; the last one has all the time that is left, since no other could use it. */
    private TryResult attempt(EntryAddress entry, String permit, boolean last) {
      Duration left = remaining();
      if (left.isZero()) {
        return new TryResult.NotSent("the deadline is over");
      }
      long share = last ? left.toNanos() : (long) (left.toNanos() * options.tryShare());
      Duration wait = Duration.ofNanos(Math.max(share, SHORTEST_TRY.toNanos()));
      return calls.send(entry, request, permit, left, wait, sink);
    }

    /** A route to start with; a request under a permit of its own always needs a new look-up. */
    private @Nullable Route route() {
      Optional<Route> kept = routes.fresh(key);
      boolean usable = kept.isPresent() && (!kept.get().needsPermit() || !resumedPermit.isEmpty());
      return usable ? kept.get() : lookUp();
    }

    /**
     * Asks the entry VMs of the last answer first: the best of them is then home to the permit and
     * holds the gate, which saves a hop.
     */
    private @Nullable Route lookUp() {
      Set<EntryAddress> asked = new LinkedHashSet<>();
      Optional<Route> known = routes.stale(key);
      known.ifPresent(route -> asked.addAll(route.entries()));
      asked.addAll(shuffledSeeds());
      for (EntryAddress entry : asked) {
        Duration left = remaining();
        if (left.isZero()) {
          return null;
        }
        long share = (long) (left.toNanos() * options.tryShare());
        EntryCalls.Found found = calls.lookUp(entry, key, Duration.ofNanos(share));
        if (found instanceof EntryCalls.Found.At at) {
          routes.put(key, at.route());
          return at.route();
        }
        lookUpFailures.add(((EntryCalls.Found.Nothing) found).why());
      }
      return known.filter(route -> !route.needsPermit()).orElse(null);
    }

    private List<EntryAddress> shuffledSeeds() {
      List<EntryAddress> shuffled = new ArrayList<>(seeds);
      Collections.shuffle(shuffled, ThreadLocalRandom.current());
      return shuffled;
    }

    private Answer withoutRoute() {
      List<String> details = lookUpFailures.stream().map(EntryCalls::describe).toList();
      String detail = "no entry VM answered the look-up: " + String.join("; ", details);
      if (!resumedPermit.isEmpty()) {
        return new Answer.Unknown(ResultCode.OUTCOME_UNKNOWN, resumedPermit, detail, 0);
      }
      for (TryResult failure : lookUpFailures) {
        if (failure instanceof TryResult.Said said) {
          return new Answer.NotRun(said.code(), said.retryAfter(), said.detail(), 0);
        }
      }
      return new Answer.NotRun(ResultCode.NO_TARGET, LONGEST_PAUSE, detail, 0);
    }

    private Duration remaining() {
      return Duration.ofNanos(Math.max(0, deadline - System.nanoTime()));
    }

    /** Waits for at least {@code asked}, with jitter; false where the deadline would pass. */
    private boolean pause(Duration asked, int soFar) {
      long floor = Math.min(asked.toNanos(), LONGEST_PAUSE.toNanos());
      long spread = Duration.ofMillis(5L << Math.min(soFar, 6)).toNanos();
      long nanos = floor + ThreadLocalRandom.current().nextLong(spread);
      if (nanos >= remaining().toNanos()) {
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
