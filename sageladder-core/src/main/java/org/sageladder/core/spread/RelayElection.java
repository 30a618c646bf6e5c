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
 * Elects the zone's relay with a lease in the store: decides whether this entry VM is the relay,
 * and which store call to make next.
 *
 * <p>The relay is named by a key in the store that is bound to a lease. The revision of the write
 * that created the key is the fencing token: a later relay's is higher. A relay whose lease lapsed
 * because the store is unreachable continues, since no other VM can take the key either. It steps
 * down as soon as the store reports that the lease has ended, or when it sees a view with a higher
 * fencing token. Not thread-safe.
 */
public final class RelayElection {
  /** The role of this entry VM in its zone. The event log records the names. */
  public enum State {
    /** Another entry VM is the relay, or there is none. */
    FOLLOWING,
    /** Relay with a valid lease. */
    HOLDING,
    /** Relay whose lease has not been renewed in time because the store does not answer. */
    LAPSED,
    /** Relay that never had a lease: the previous relay and the store are both unreachable. */
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
   * Returns the election at {@code key}.
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

  /** Current role of this entry VM; a valid lease lapses by time alone. */
  public State state() {
    if (state == State.HOLDING && time.nanos() - leaseValidUntilNanos >= 0) {
      state = State.LAPSED;
    }
    return state;
  }

  /** Whether this entry VM is the relay, which builds the zone's views, with or without a lease. */
  public boolean isRelay() {
    return state() != State.FOLLOWING;
  }

  /** Fencing token of the relay; defined only while this VM is the relay. */
  public long fencingToken() {
    return fencingToken;
  }

  /** Whether the last store call of the election failed. */
  public boolean isStoreFailing() {
    return isStoreFailing;
  }

  /**
   * Returns the store call to make now, if any. Its outcome must be reported by one of the {@code
   * on} methods.
   *
   * @param silentNanos time since the last message of the zone's relay
   * @param rank position of this VM among the candidates; 0 tries first
   * @param isEligible false while this VM is draining or has no initial snapshot yet
   */
  public Optional<ElectionCall> nextCall(long silentNanos, int rank, boolean isEligible) {
    if (isCallInFlight || time.nanos() - nextCallNanos < 0) {
      return Optional.empty();
    }
    long requiredSilenceNanos =
        settings.silenceTimeout().toNanos() + rank * settings.rankDelay().toNanos();
    boolean isCandidate = isEligible && silentNanos >= requiredSilenceNanos;
    if (step != Step.RENEW && state == State.FOLLOWING && !isCandidate) {
      step = Step.READ;
      return Optional.empty();
    }
    isCallInFlight = true;
    return Optional.of(startCall());
  }

  private ElectionCall startCall() {
    Long heldLease = lease;
    if (heldLease == null && (step == Step.CLAIM || step == Step.RENEW)) {
      step = Step.READ;
    }
    return switch (step) {
      case READ -> new ElectionCall.ReadOwner(key);
      case GRANT -> {
        leaseRequestedNanos = time.nanos();
        yield new ElectionCall.Grant();
      }
      case CLAIM -> new ElectionCall.Claim(key, claim, heldLease == null ? 0 : heldLease);
      case RENEW -> {
        leaseRequestedNanos = time.nanos();
        yield new ElectionCall.Renew(heldLease == null ? 0 : heldLease);
      }
    };
  }

  /**
   * Makes this VM act as relay without a lease if relay and store have both been unreachable for
   * long enough.
   *
   * @param lastFencingToken fencing token of the last view seen
   * @return true if this VM started to act as relay
   */
  public boolean actWithoutLeaseIfAbandoned(long silentNanos, int rank, long lastFencingToken) {
    long requiredSilenceNanos =
        settings.actingDelay().toNanos() + rank * settings.rankDelay().toNanos();
    boolean isAbandoned =
        state == State.FOLLOWING
            && silentNanos >= requiredSilenceNanos
            && isStoreFailing
            && time.nanos() - failingSinceNanos >= settings.silenceTimeout().toNanos();
    if (isAbandoned) {
      state = State.ACTING;
      fencingToken = lastFencingToken;
    }
    return isAbandoned;
  }

  /** The key that names the relay was read. */
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

  /** The lease was granted. */
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
  public void onRenewed(boolean isStillHeld) {
    onStoreAnswer();
    if (lease == null || !isStillHeld) {
      stepDown();
      return;
    }
    state = State.HOLDING;
    leaseValidUntilNanos = leaseRequestedNanos + settings.leaseTimeToLive().toNanos();
    waitWithJitter(settings.renewInterval());
  }

  /**
   * The call returned no result; it may have taken effect.
   *
   * <p>After a claim, the next call reads the key: if it contains this incarnation's claim, the
   * claim whose answer was lost had succeeded.
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

  /** A view of this zone was seen; a higher fencing token than this VM's makes it step down. */
  public void onViewSeen(long seenFencingToken) {
    if (isRelay() && seenFencingToken > fencingToken) {
      stepDown();
    }
  }

  /** A message of a regular relay arrived; a relay that acts without a lease steps down. */
  public void onRelayMessage() {
    if (state == State.ACTING) {
      stepDown();
    }
  }

  /** Resigns for a planned stop; returns the lease to revoke. */
  public Optional<Long> resign() {
    Long heldLease = lease;
    stepDown();
    return Optional.ofNullable(heldLease);
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
