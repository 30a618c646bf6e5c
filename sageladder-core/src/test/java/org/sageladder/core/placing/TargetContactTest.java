package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests what connections tell about a restart. */
class TargetContactTest {
  private static final long COLD_MILLIS = 3_000;

  /** Contact that was lost at 10,000; the target was last known to be alive at 8,000. */
  private static TargetContact lost() {
    TargetContact contact = new TargetContact(0);
    assertTrue(contact.recordLost(8_000, 10_000, COLD_MILLIS));
    return contact;
  }

  @Test
  void targetWithoutLossIsNotAssumedCold() {
    assertFalse(new TargetContact(0).mayBeCold(1_000, 1));
  }

  @Test
  void targetIsAssumedColdAfterLoss() {
    assertTrue(lost().mayBeCold(12_999, 0));
  }

  @Test
  void answerOnOlderConnectionShowsThatTargetDidNotRestart() {
    TargetContact contact = lost();
    assertTrue(contact.recordAnswer(8_000, 10_000, 10_100));
    assertFalse(contact.mayBeCold(10_100, 1));
  }

  @Test
  void answerOnNewerConnectionShowsNothing() {
    TargetContact contact = lost();
    assertFalse(contact.recordAnswer(8_001, 10_000, 10_100));
    assertTrue(contact.mayBeCold(10_100, 1));
  }

  @Test
  void answerToRequestSentBeforeTheLossShowsNothing() {
    TargetContact contact = lost();
    assertFalse(contact.recordAnswer(8_000, 9_999, 10_100));
    assertTrue(contact.mayBeCold(10_100, 1));
  }

  @Test
  void newConnectionStartsColdTimeAnew() {
    TargetContact contact = lost();
    contact.recordConnection(20_000);
    assertTrue(contact.mayBeCold(22_999, 0));
    assertFalse(contact.mayBeCold(23_000, 0));
  }

  @Test
  void laterConnectionDoesNotProlongColdTime() {
    TargetContact contact = lost();
    contact.recordConnection(20_000);
    contact.recordConnection(22_000);
    assertFalse(contact.mayBeCold(23_000, 0));
  }

  @Test
  void connectionOpenedBeforeTheLossDoesNotCountAsNew() {
    TargetContact contact = lost();
    contact.recordConnection(10_000);
    assertTrue(contact.mayBeCold(12_999, 0));
    assertTrue(contact.mayBeCold(14_000, 1));
  }

  @Test
  void oneRequestAtATimeFindsOutWhetherTargetIsReachable() {
    TargetContact contact = lost();
    assertFalse(contact.mayBeCold(13_000, 0));
    assertTrue(contact.mayBeCold(13_000, 1));
  }

  @Test
  void earliestLossDecidesWhichConnectionsAreOlder() {
    TargetContact contact = lost();
    assertFalse(contact.recordLost(9_500, 10_500, COLD_MILLIS));
    assertFalse(contact.recordAnswer(9_000, 10_500, 10_600));
    assertTrue(contact.recordAnswer(8_000, 10_500, 10_600));
  }

  @Test
  void lossAfterTheColdTimeIsJudgedByItself() {
    TargetContact contact = lost();
    contact.recordConnection(20_000);
    assertTrue(contact.recordLost(24_000, 25_000, COLD_MILLIS));
    assertTrue(contact.recordAnswer(20_000, 25_000, 25_100));
    assertFalse(contact.mayBeCold(25_100, 1));
  }

  @Test
  void targetsOfServiceWithoutColdTimeAreNotLimited() {
    TargetContact contact = new TargetContact(0);
    contact.recordLost(8_000, 10_000, 0);
    assertFalse(contact.mayBeCold(10_001, 1));
  }
}
