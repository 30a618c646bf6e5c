package org.sageladder.core.permit;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Issuer of the permits of one incarnation of an entry VM: mints permits and decides which copy of
 * a request may run.
 *
 * <p>Memory use is bounded by minting rate times lifetime: permits have consecutive sequence
 * numbers, and their state is dropped some time after expiry. On a planned stop the states go to
 * one successor, which then decides in place of the stopped VM.
 *
 * <pre>{@code
 * Permit permit = issuer.mint("kannelkoda", "donations", nowMillis).orElseThrow();
 * if (issuer.beginExecution(permit, digest, nowMillis) instanceof Decision.Execute execute) {
 *   execute.execution().recordAnswer(answer);
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PermitHome {
  private final String vm;
  private final long incarnation;
  private final Limits limits;
  private final PermitTable ownTable;
  private final Map<Incarnation, PermitTable> adoptedTables = new ConcurrentHashMap<>();

  private PermitHome(String vm, long incarnation, Limits limits) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.limits = limits;
    this.ownTable = new PermitTable(limits);
  }

  /** Returns the issuer of the permits of {@code vm} in {@code incarnation}. */
  public static PermitHome of(String vm, long incarnation, Limits limits) {
    return new PermitHome(vm, incarnation, limits);
  }

  /**
   * Bounds on the state of an issuer.
   *
   * @param lifetime time from minting to expiry
   * @param segmentSpan time that one segment of states covers
   * @param retention how long states are kept after the last expiry in their segment
   * @param maxAnswerBytes memory for recorded answers; the oldest are evicted first
   */
  public record Limits(
      Duration lifetime, Duration segmentSpan, Duration retention, long maxAnswerBytes) {
    /** A lifetime of two minutes, one more minute of retention, and 16 MiB of answers. */
    public static Limits standard() {
      return new Limits(
          Duration.ofMinutes(2), Duration.ofSeconds(10), Duration.ofMinutes(1), 16L << 20);
    }
  }

  private record Incarnation(String vm, long number) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
      int byVm = vm.compareTo(other.vm);
      return byVm != 0 ? byVm : Long.compare(number, other.number);
    }
  }

  /**
   * Mints a permit; empty once this issuer is draining or closed.
   *
   * @param binding the only use that the permit is valid for, such as the digest of an idempotency
   *     key; empty if unbound
   */
  public Optional<Permit> mint(String customer, String service, String binding, long nowMillis) {
    PermitTable.Minted minted = ownTable.mint(nowMillis);
    if (minted == null) {
      return Optional.empty();
    }
    return Optional.of(
        new Permit(
            vm,
            incarnation,
            minted.sequence(),
            minted.expiryMillis(),
            customer,
            service,
            binding,
            ""));
  }

  /** The incarnation that this issuer's own permits carry. */
  public long incarnation() {
    return incarnation;
  }

  /** Mints an unbound permit; empty once this issuer is draining or closed. */
  public Optional<Permit> mint(String customer, String service, long nowMillis) {
    return mint(customer, service, "", nowMillis);
  }

  /**
   * Decides on one copy of a request.
   *
   * @param permit a permit that was opened and verified
   * @param requestDigest digest of what must be the same in every copy, such as method, path and
   *     body
   * @param nowMillis wall-clock time of this VM
   */
  public Decision beginExecution(Permit permit, String requestDigest, long nowMillis) {
    PermitTable table = tableFor(permit);
    if (table == null) {
      return new Decision.Foreign();
    }
    return table.beginExecution(permit, fnv1aHash(requestDigest), nowMillis);
  }

  /** Returns whether this issuer decides on the permits of that incarnation. */
  public boolean decidesFor(String issuer, long issuerIncarnation) {
    return isOwn(issuer, issuerIncarnation)
        || adoptedTables.containsKey(new Incarnation(issuer, issuerIncarnation));
  }

  /**
   * Stops minting permits and starting executions of its own permits. Until the successor decides,
   * a copy that could have been executed is answered "running", so that its caller retries.
   */
  public void startDraining() {
    ownTable.startDraining();
  }

  /**
   * Closes this issuer and returns its states for {@code successor}, or empty if another successor
   * was named before. Afterwards every copy is referred to the successor.
   */
  public Optional<HandOver> close(String successor, long nowMillis) {
    return Optional.ofNullable(ownTable.close(vm, incarnation, successor, nowMillis));
  }

  /**
   * Takes over the permits of a stopped incarnation. Idempotent, so the sender may send the
   * hand-over again if the acknowledgement was lost.
   */
  public void adopt(HandOver handOver) {
    adoptedTables.computeIfAbsent(
        new Incarnation(handOver.vm(), handOver.incarnation()),
        key -> PermitTable.restoredFrom(handOver, limits));
  }

  /** Drops the states of adopted incarnations whose permits have all expired. */
  public void dropExpired(long nowMillis) {
    adoptedTables.values().removeIf(table -> table.retainedCount(nowMillis) == 0);
  }

  /** Number of executions in progress, adopted permits included. */
  public int runningCount() {
    int count = ownTable.runningCount();
    for (PermitTable table : adoptedTables.values()) {
      count += table.runningCount();
    }
    return count;
  }

  /** Number of permits whose state is retained, adopted ones included. */
  public long retainedCount(long nowMillis) {
    long count = ownTable.retainedCount(nowMillis);
    for (PermitTable table : adoptedTables.values()) {
      count += table.retainedCount(nowMillis);
    }
    return count;
  }

  /** Describes the table of own permits and the adopted tables, for operators. */
  @Override
  public String toString() {
    return vm
        + "/"
        + incarnation
        + " own: "
        + ownTable
        + " adopted: "
        + new TreeMap<>(adoptedTables);
  }

  /** Number of executions in progress of this issuer's own permits. */
  public int runningOwnCount() {
    return ownTable.runningCount();
  }

  private @Nullable PermitTable tableFor(Permit permit) {
    if (isOwn(permit.issuer(), permit.incarnation())) {
      return ownTable;
    }
    return adoptedTables.get(new Incarnation(permit.issuer(), permit.incarnation()));
  }

  private boolean isOwn(String issuer, long issuerIncarnation) {
    return issuer.equals(vm) && issuerIncarnation == incarnation;
  }

  private static long fnv1aHash(String requestDigest) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < requestDigest.length(); i++) {
      hash = (hash ^ requestDigest.charAt(i)) * 0x100000001b3L;
    }
    return hash;
  }
}
