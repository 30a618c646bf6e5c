package org.sageladder.core.permit;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Mints the permits of one incarnation of an entry VM and decides which copy of a request may run.
 *
 * <p>Memory is bounded by rate times lifetime: permits are numbered in sequence, and the state of a
 * number is dropped some time after its expiry. At a planned stop the states go to one successor,
 * which then decides in the place of the one that stopped.
 *
 * <pre>{@code
 * Permit permit = home.mint("kannelkoda", "donations", nowMillis).orElseThrow();
 * if (home.begin(permit, digest, nowMillis) instanceof Decision.Execute execute) {
 *   execute.execution().finish(answer);
 * }
 * }</pre>
 *
 * <p>All methods are safe for use by several threads.
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

  /** The home of the permits of {@code vm} in {@code incarnation}. */
  public static PermitHome of(String vm, long incarnation, Limits limits) {
    return new PermitHome(vm, incarnation, limits);
  }

  /**
   * What bounds the state of a home.
   *
   * @param lifetime time from minting to expiry
   * @param segmentSpan time that one segment of states covers
   * @param retention time that states outlive the last expiry of their segment
   * @param maxAnswerBytes most memory for recorded answers; the oldest go first
   */
  public record Limits(
      Duration lifetime, Duration segmentSpan, Duration retention, long maxAnswerBytes) {
    /** Two minutes to live and one more to be asked about, 16 MiB of answers. */
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
   * A fresh permit, or empty once this home was handed over.
   *
   * @param binding digest of the idempotency key that the permit is for, or empty
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

  /** The incarnation in its own permits. */
  public long incarnation() {
    return incarnation;
  }

  /** A fresh permit that is bound to no key, or empty once this home was handed over. */
  public Optional<Permit> mint(String customer, String service, long nowMillis) {
    return mint(customer, service, "", nowMillis);
  }

  /**
   * Decides on one copy of a request.
   *
   * @param permit opened and verified
   * @param requestDigest digest of what must be alike in every copy, such as method, path and body
   * @param nowMillis wall clock of this VM
   */
  public Decision beginExecution(Permit permit, String requestDigest, long nowMillis) {
    PermitTable table = tableFor(permit);
    if (table == null) {
      return new Decision.Foreign();
    }
    return table.beginExecution(permit, fnv1aHash(requestDigest), nowMillis);
  }

  /** True where this home decides on the permits of that incarnation. */
  public boolean decidesFor(String issuer, long issuerIncarnation) {
    return isOwn(issuer, issuerIncarnation)
        || adoptedTables.containsKey(new Incarnation(issuer, issuerIncarnation));
  }

  /**
   * Begins no further run of its own permits and mints no more; a copy that might have been run is
   * told "running", which asks its caller to come back when the successor decides.
   */
  public void startDraining() {
    ownTable.startDraining();
  }

  /**
   * Closes this home and returns its states for {@code successor}, or empty where another successor
   * was named before; from then on every copy is told to ask the successor.
   */
  public Optional<HandOver> close(String successor, long nowMillis) {
    return Optional.ofNullable(ownTable.close(vm, incarnation, successor, nowMillis));
  }

  /**
   * Takes the permits of a stopped incarnation over; a second copy of the same hand-over changes
   * nothing, so the sender may send again when the acknowledgement was lost.
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

  /** Executions that have not ended. */
  public int runningCount() {
    int running = ownTable.runningCount();
    for (PermitTable table : adoptedTables.values()) {
      running += table.runningCount();
    }
    return running;
  }

  /** Permits whose state is held now, adopted ones included. */
  public long retainedCount(long nowMillis) {
    long held = ownTable.retainedCount(nowMillis);
    for (PermitTable table : adoptedTables.values()) {
      held += table.retainedCount(nowMillis);
    }
    return held;
  }

  /** Its own table and the adopted ones, for operators. */
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

  /** Executions of its own permits that have not ended. */
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
