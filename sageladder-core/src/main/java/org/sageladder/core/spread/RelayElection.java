package org.sageladder.core.spread;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;

/**
 * Decides whether this entry VM is its zone's relay, and which store call comes next.
 *
 * <p>The duty is a key in the store, bound to a lease; the revision of that key's write fences the
 * duty, since a later holder's is higher. A relay whose lease lapsed because the store is out of
 * reach goes on unchallenged: nobody else can take the key either. It steps down as soon as the
 * store says the lease has ended, or a view with a higher fencing revision is seen. Not
 * thread-safe.
 */
public final class RelayElection {
  /** What this entry VM is to its zone. */
  public enum State {
    /** Another entry VM is relay, or nobody is. */
    FOLLOWING,
    /** Relay under a lease that is valid now. */
    HOLDING,
    /** Relay whose lease could not be renewed because the store does not answer. */
    LAPSED,
    /** Relay without ever having had a lease: old relay and store are both out of reach. */
    ACTING
  }

  private enum Step {
    READ,
    GRANT,
    CLAIM,
    RENEW
  }

  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(400);

  private final RelaySettings settings;
  private final TimeSource time;
  private final String key;
  private final byte[] claim;
  private final RandomGenerator random;
  private final Backoff backoff;
  private State state = State.FOLLOWING;
  private Step step = Step.READ;
  private boolean isCallInFlight;
  private @Nullable Long lease;
  private long leaseRequestedNanos;
  private long leaseValidUntilNanos;
  private long nextCallNanos;
  private long fencingToken;
  private boolean isStoreFailing;
  private long failingSinceNanos;

  private RelayElection(
      RelaySettings settings, TimeSource time, String key, String claim, RandomGenerator random) {
    this.settings = settings;
    this.time = time;
    this.key = key;
    this.claim = claim.getBytes(StandardCharsets.UTF_8);
    this.random = random;
    this.backoff = Backoff.of(Duration.ofMillis(200), Duration.ofSeconds(5), random);
    this.nextCallNanos = time.nanos() + (long) (random.nextDouble() * 1e8);
  }

  /**
   * The duty at {@code key}.
   *
   * @param vm this entry VM
   * @param incarnation makes the claim unique, so that a claim whose answer was lost is recognised
   */
  public static RelayElection of(
      RelaySettings settings,
      TimeSource time,
      String key,
      String vm,
      long incarnation,
      RandomGenerator random) {
    return new RelayElection(settings, time, key, vm + '\n' + incarnation, random);
  }

  /** What this entry VM is now; a valid lease lapses by itself. */
  public State state() {
    if (state == State.HOLDING && time.nanos() - leaseValidUntilNanos >= 0) {
      state = State.LAPSED;
    }
    return state;
  }

  /** Whether this entry VM makes the zone's views, with or without a lease. */
  public boolean isRelay() {
    return state() != State.FOLLOWING;
  }

  /** The fencing revision of the duty; has meaning only while relaying. */
  public long fencingToken() {
    return fencingToken;
  }

  /** Whether the last store call of the duty failed. */
  public boolean isStoreFailing() {
    return isStoreFailing;
  }

  /**
   * The store call to make now, if any; its end is reported by one of the {@code on} methods.
   *
   * @param silentNanos how long the zone's relay has been silent here
   * @param rank place of this VM among those that may follow; 0 tries first
   * @param isEligible false while this VM leaves or has no snapshot yet
   */
  public Optional<ElectionCall> nextCall(long silentNanos, int rank, boolean isEligible) {
    if (isCallInFlight || time.nanos() - nextCallNanos < 0) {
      return Optional.empty();
    }
    long patience = settings.silenceTimeout().toNanos() + rank * settings.rankDelay().toNanos();
    boolean candidate = isEligible && silentNanos >= patience;
    if (step != Step.RENEW && state == State.FOLLOWING && !candidate) {
      step = Step.READ;
      return Optional.empty();
    }
    isCallInFlight = true;
    return Optional.of(startCall());
  }

  private ElectionCall startCall() {
    Long held = lease;
    if (held == null && (step == Step.CLAIM || step == Step.RENEW)) {
      step = Step.READ;
    }
    return switch (step) {
      case READ -> new ElectionCall.ReadOwner(key);
      case GRANT -> {
        leaseRequestedNanos = time.nanos();
        yield new ElectionCall.Grant();
      }
      case CLAIM -> new ElectionCall.Claim(key, claim, held == null ? 0 : held);
      case RENEW -> {
        leaseRequestedNanos = time.nanos();
        yield new ElectionCall.Renew(held == null ? 0 : held);
      }
    };
  }

  /**
   * Acts without a lease where relay and store have both been out of reach for long enough.
   *
   * @param lastFencingToken fencing revision of the last view seen
   */
  public boolean actWithoutLeaseIfAbandoned(long silentNanos, int rank, long lastFencingToken) {
    long patience = settings.actingDelay().toNanos() + rank * settings.rankDelay().toNanos();
    boolean abandoned =
        state == State.FOLLOWING
            && silentNanos >= patience
            && isStoreFailing
            && time.nanos() - failingSinceNanos >= settings.silenceTimeout().toNanos();
    if (abandoned) {
      state = State.ACTING;
      fencingToken = lastFencingToken;
    }
    return abandoned;
  }

  /** The owner was read. */
  public void onOwnerRead(Optional<StoredValue> owner) {
    onStoreAnswer();
    if (owner.isEmpty()) {
      step = Step.GRANT;
      return;
    }
    if (lease != null && Arrays.equals(owner.get().value(), claim)) {
      becomeRelay(owner.get().revision());
      return;
    }
    stepDown();
    waitWithJitter(RECHECK_INTERVAL);
  }

  /** A lease was opened. */
  public void onGranted(long grantedLease) {
    onStoreAnswer();
    if (step != Step.GRANT) {
      return;
    }
    lease = grantedLease;
    step = Step.CLAIM;
  }

  /** The claim was answered. */
  public void onClaimed(WriteResult result) {
    onStoreAnswer();
    if (lease != null && result instanceof WriteResult.Written written) {
      becomeRelay(written.revision());
      return;
    }
    stepDown();
    waitWithJitter(RECHECK_INTERVAL);
  }

  /** The renewal was answered. */
  public void onRenewed(boolean stillHeld) {
    onStoreAnswer();
    if (lease == null || !stillHeld) {
      stepDown();
      return;
    }
    state = State.HOLDING;
    leaseValidUntilNanos = leaseRequestedNanos + settings.leaseTimeToLive().toNanos();
    waitWithJitter(settings.renewInterval());
  }

  /**
   * The call gave no result; it may have taken effect.
   *
   * <p>After a claim the next call reads the key: if it carries this incarnation's claim, the lost
   * answer was a success.
   */
  public void onFailure() {
    isCallInFlight = false;
    if (!isStoreFailing) {
      isStoreFailing = true;
      failingSinceNanos = time.nanos();
    }
    if (step != Step.RENEW) {
      step = Step.READ;
    }
    nextCallNanos = time.nanos() + backoff.recordFailure().toNanos();
  }

  /** A view of this zone with a fencing revision was seen; a higher one ends this VM's duty. */
  public void onViewSeen(long seenFencingToken) {
    if (isRelay() && seenFencingToken > fencingToken) {
      stepDown();
    }
  }

  /** A relay that may be followed was heard; one that only acts gives way to it. */
  public void onRelayMessage() {
    if (state == State.ACTING) {
      stepDown();
    }
  }

  /** Gives the duty up, for a planned stop; returns the lease to revoke. */
  public Optional<Long> resign() {
    Long held = lease;
    stepDown();
    return Optional.ofNullable(held);
  }

  private void becomeRelay(long revision) {
    state = State.HOLDING;
    fencingToken = revision;
    leaseValidUntilNanos = leaseRequestedNanos + settings.leaseTimeToLive().toNanos();
    step = Step.RENEW;
    waitWithJitter(settings.renewInterval());
  }

  private void stepDown() {
    state = State.FOLLOWING;
    step = Step.READ;
    lease = null;
  }

  private void onStoreAnswer() {
    isCallInFlight = false;
    isStoreFailing = false;
    backoff.recordSuccess();
    nextCallNanos = time.nanos();
  }

  private void waitWithJitter(Duration wait) {
    double factor = 0.8 + 0.4 * random.nextDouble();
    nextCallNanos = time.nanos() + (long) (wait.toNanos() * factor);
  }
}
