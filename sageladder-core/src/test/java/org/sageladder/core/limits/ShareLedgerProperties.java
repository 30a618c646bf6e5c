package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Loans between gates over a network that loses, repeats, delays and reorders. */
class ShareLedgerProperties {
  private static final int GATES = 4;
  private static final int OWN = 20;
  private static final Duration LOAN = Duration.ofSeconds(10);

  /**
   * Four gates lend each other units while asks and loans are lost, come twice, late and out of
   * order, and gates start anew without memory. Were a unit ever usable in two places, a region
   * would grow by more than its contract allows: the gates' units must never exceed 4 x 20.
   */
  @Property(tries = 300, seed = "77")
  void unitsNeverAddUpToMoreThanTheContract(@ForAll long seed) {
    Random random = new Random(seed);
    ShareLedger[] ledgers = new ShareLedger[GATES];
    long[] incarnations = new long[GATES];
    for (int i = 0; i < GATES; i++) {
      ledgers[i] = ShareLedger.create("g" + i, ++incarnations[i], LOAN, 0);
    }
    List<Object> onTheWay = new ArrayList<>();
    long now = 0;
    int mostUsable = 0;
    for (int step = 0; step < 400; step++) {
      now += random.nextInt(500) * 1_000_000L;
      int gate = random.nextInt(GATES);
      if (random.nextInt(50) == 0) {
        ledgers[gate] = ShareLedger.create("g" + gate, ++incarnations[gate], LOAN, now);
      } else if (random.nextInt(3) == 0) {
        onTheWay.add(ledgers[gate].ask(1 + random.nextInt(OWN), now));
      }
      deliverSome(ledgers, onTheWay, random, now);
      int usable = 0;
      for (ShareLedger ledger : ledgers) {
        usable += ledger.usable(OWN, now);
      }
      mostUsable = Math.max(mostUsable, usable);
      assertTrue(usable <= GATES * OWN, usable + " units usable at step " + step);
    }
    assertTrue(mostUsable > 0);
  }

  /** Picks messages in any order; a message stays in the network with a chance, to come again. */
  private static void deliverSome(
      ShareLedger[] ledgers, List<Object> onTheWay, Random random, long now) {
    for (int i = 0; i < 3 && !onTheWay.isEmpty(); i++) {
      int index = random.nextInt(onTheWay.size());
      Object message = random.nextInt(3) == 0 ? onTheWay.get(index) : onTheWay.remove(index);
      if (random.nextInt(4) == 0) {
        continue;
      }
      if (message instanceof ShareLedger.ShareAsk ask) {
        // An ask goes to one gate only, and repeats of it to the same.
        int lender = Math.floorMod(ask.hashCode(), GATES);
        if (!ask.borrower().equals("g" + lender)) {
          int spare = ledgers[lender].usable(OWN, now);
          ledgers[lender].lend(ask, OWN, spare, now).ifPresent(onTheWay::add);
        }
      } else if (message instanceof ShareLedger.ShareLoan loan) {
        ledgers[Integer.parseInt(loan.borrower().substring(1))].borrow(loan, now);
      }
    }
  }
}
