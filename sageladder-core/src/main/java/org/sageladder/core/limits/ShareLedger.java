package org.sageladder.core.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Lends parts of a region's gain between gates, so that over all gates they never add up to more
 * than the contract allows.
 *
 * <p>The lender takes units off before it answers and takes them back after the loan's length and a
 * margin, on its own clock. The borrower uses them until the loan's length has passed since it
 * <em>asked</em>, on its own clock, which is sooner whatever the messages do. So no message that is
 * lost, repeated, late or out of order can make a unit count twice, and a lost one costs headroom
 * only until the loan ends. The clocks need not agree; they must run alike to within the margin.
 *
 * <p>A gate that starts anew has forgotten what it lent. It lends and uses nothing of its own until
 * every loan that its earlier life may have made is over.
 *
 * <pre>{@code
 * ShareAsk ask = ledger.ask(12, now);         // send to a gate of the same region
 * Optional<ShareLoan> loan = other.lend(ask, own, spare, now); // send back
 * ledger.borrow(loan.get(), now);
 * gate.borrowedUnits(ledger.balance(now));    // also on each tick
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class ShareLedger {
  /** How much the lender waits beyond the loan's length, as a part of it: clocks run unevenly. */
  private static final double MARGIN = 0.05;

  private final String gate;
  private final long incarnation;
  private final Duration loanLength;
  private final long startNanos;
  private final Map<Key, Entry> lent = new HashMap<>();
  private final Map<Long, Entry> borrowed = new HashMap<>();
  private final Map<Long, Long> asked = new HashMap<>();
  private long nextNumber;

  /** One loan as its lender or borrower keeps it. */
  private record Entry(int units, long endNanos) {}

  private record Key(String borrower, long incarnation, long number) {}

  /** A borrower's question; {@code number} never repeats within an incarnation. */
  public record ShareAsk(String borrower, long incarnation, long number, int units) {}

  /** A lender's answer to the ask with the same number. */
  public record ShareLoan(
      String lender, String borrower, long borrowerIncarnation, long number, int units) {}

  private ShareLedger(String gate, long incarnation, Duration loanLength, long startNanos) {
    this.gate = gate;
    this.incarnation = incarnation;
    this.loanLength = loanLength;
    this.startNanos = startNanos;
  }

  /**
   * A ledger without loans.
   *
   * @param nowNanos monotonic time of the start; until a loan's length and margin later an earlier
   *     incarnation's loans may be out
   */
  public static ShareLedger create(
      String gate, long incarnation, Duration loanLength, long nowNanos) {
    return new ShareLedger(gate, incarnation, loanLength, nowNanos);
  }

  /** A question for {@code units}, to be sent to one gate only. */
  public ShareAsk ask(int units, long nowNanos) {
    long number = nextNumber++;
    asked.put(number, nowNanos);
    return new ShareAsk(gate, incarnation, number, units);
  }

  /**
   * Lends what can be spared, at most what was asked; a repeated ask gets the loan it had.
   *
   * <p>Only units of its own, never borrowed ones: those may have to go back before the loan ends.
   *
   * @param own this gate's own share
   * @param spare units that this gate does without now, its loans already taken off
   */
  public Optional<ShareLoan> lend(ShareAsk ask, int own, int spare, long nowNanos) {
    expire(nowNanos);
    Key key = new Key(ask.borrower(), ask.incarnation(), ask.number());
    Entry known = lent.get(key);
    if (known == null) {
      int left = isFresh(nowNanos) ? 0 : own - lentUnits();
      int units = Math.min(ask.units(), Math.min(left, spare));
      if (units <= 0) {
        return Optional.empty();
      }
      known = new Entry(units, nowNanos + lenderNanos());
      lent.put(key, known);
    }
    return Optional.of(
        new ShareLoan(gate, ask.borrower(), ask.incarnation(), ask.number(), known.units()));
  }

  /** Takes a loan; one that was not asked for, is taken already or is over has no effect. */
  public void borrow(ShareLoan loan, long nowNanos) {
    if (!loan.borrower().equals(gate) || loan.borrowerIncarnation() != incarnation) {
      return;
    }
    Long askedAt = asked.remove(loan.number());
    if (askedAt == null) {
      return;
    }
    borrowed.put(loan.number(), new Entry(loan.units(), askedAt + loanLength.toNanos()));
    expire(nowNanos);
  }

  /** Units borrowed less units lent. */
  public int balance(long nowNanos) {
    expire(nowNanos);
    int balance = 0;
    for (Entry loan : borrowed.values()) {
      balance += loan.units();
    }
    return balance - lentUnits();
  }

  private int lentUnits() {
    int units = 0;
    for (Entry loan : lent.values()) {
      units += loan.units();
    }
    return units;
  }

  /** Units that may be used of {@code own} and of what is lent or borrowed now. */
  public int usable(int own, long nowNanos) {
    int balance = balance(nowNanos);
    return Math.max(0, isFresh(nowNanos) ? balance : own + balance);
  }

  private boolean isFresh(long nowNanos) {
    return incarnation > 1 && nowNanos - startNanos < lenderNanos();
  }

  private long lenderNanos() {
    return (long) (loanLength.toNanos() * (1 + MARGIN));
  }

  private void expire(long nowNanos) {
    lent.values().removeIf(loan -> nowNanos - loan.endNanos() >= 0);
    borrowed.values().removeIf(loan -> nowNanos - loan.endNanos() >= 0);
    Iterator<Long> asks = asked.values().iterator();
    while (asks.hasNext()) {
      if (nowNanos - asks.next() >= loanLength.toNanos()) {
        asks.remove();
      }
    }
  }
}
