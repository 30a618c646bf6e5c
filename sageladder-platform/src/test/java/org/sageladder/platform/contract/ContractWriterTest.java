package org.sageladder.platform.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.platform.contract.FakeStore.Fault;

class ContractWriterTest {
  private final FakeStore store = new FakeStore();
  private final ContractWriter maie = writer("maie");
  private final ContractWriter juris = writer("juris");
  private long baseRevision;

  @BeforeEach
  void storeFirstContract() throws Exception {
    ApplyResult first = maie.apply(contract("", ""), 0);
    baseRevision = assertInstanceOf(ApplyResult.Accepted.class, first).revision();
  }

  @Test
  void acceptedChangeListsTheChangedValues() throws Exception {
    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 3s"), baseRevision);

    var accepted = assertInstanceOf(ApplyResult.Accepted.class, result);
    assertEquals(
        List.of("services[donation-cataloguing].queueWait: 2s -> 3s"),
        accepted.differences().stream().map(Object::toString).toList());
    assertEquals(accepted.revision(), storedContract().history().get(0).revision());
    assertEquals(baseRevision, storedContract().history().get(1).revision());
  }

  @Test
  void equalContractIsNotWritten() throws Exception {
    assertEquals(
        new ApplyResult.Unchanged(baseRevision), maie.apply(contract("", ""), baseRevision));
  }

  // Guards against a lost update. Two operators edit the same contract from one revision. Juris's
  // change is accepted; Maie's, sent from the same base revision, would silently revert it.
  @Test
  void conflictNamesTheOtherAuthorAndTheConflictingKeys() throws Exception {
    Contract jurisContract = contract("queueWait: 2s", "queueWait: 4s");
    store.beforeNextWrite(() -> juris.apply(jurisContract, baseRevision));

    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 1s"), baseRevision);

    var conflict = assertInstanceOf(ApplyResult.Conflict.class, result);
    assertEquals("juris", conflict.current().author());
    assertEquals(List.of("services[donation-cataloguing].queueWait"), conflict.conflictingKeys());
    assertEquals(jurisContract.atRevision(baseRevision + 1), storedContract().contract());
  }

  // The store applies a write, but the connection closes before the response arrives. Without the
  // change id, the operator would get a conflict with her own change, or would apply it twice.
  @Test
  void appliedWriteWithLostResponseIsReportedAsAccepted() throws Exception {
    store.failNextWrites(Fault.LOST_AFTER_EFFECT);

    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 3s"), baseRevision);

    assertEquals(baseRevision + 1, assertInstanceOf(ApplyResult.Accepted.class, result).revision());
    assertEquals(2, storedContract().history().size());
  }

  // As above, but Juris changes the contract on top of Maie's change before her tool retries. Maie
  // would get a conflict, although her change was in force and is part of the stored contract.
  @Test
  void appliedWriteIsFoundInTheHistoryAfterAnotherChange() throws Exception {
    store.failNextWrites(Fault.LOST_AFTER_EFFECT);
    Contract maieContract = contract("queueWait: 2s", "queueWait: 3s");
    store.beforeNextWrite(
        () ->
            store.beforeNextWrite(
                () ->
                    juris.apply(contract("drainLimit: 60s", "drainLimit: 90s"), baseRevision + 1)));

    ApplyResult result = maie.apply(maieContract, baseRevision);

    assertEquals(baseRevision + 1, assertInstanceOf(ApplyResult.Accepted.class, result).revision());
    assertEquals("juris", storedContract().author());
  }

  @Test
  void writeWithoutEffectIsRetried() throws Exception {
    store.failNextWrites(Fault.LOST_BEFORE_EFFECT, Fault.LOST_BEFORE_EFFECT);

    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 3s"), baseRevision);

    assertInstanceOf(ApplyResult.Accepted.class, result);
  }

  // A response is lost, and then the store becomes unavailable. Only the later calls are refused,
  // so reporting that nothing was written would be wrong if the first write took effect.
  @Test
  void outageAfterALostResponseIsReportedAsOutcomeUnknown() throws Exception {
    store.failNextWrites(
        Fault.LOST_AFTER_EFFECT, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED);

    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 3s"), baseRevision);

    assertInstanceOf(ApplyResult.OutcomeUnknown.class, result);
  }

  @Test
  void outageBeforeTheFirstWriteIsReportedAsUnavailable() throws Exception {
    store.failNextWrites(Fault.REFUSED);

    ApplyResult result = maie.apply(contract("queueWait: 2s", "queueWait: 3s"), baseRevision);

    assertInstanceOf(ApplyResult.Unavailable.class, result);
  }

  @Test
  void contractWithInconsistentLimitsIsRejected() throws Exception {
    ApplyResult result =
        maie.apply(contract("queuePerTarget: 12", "queuePerTarget: 900"), baseRevision);

    assertInstanceOf(ApplyResult.Rejected.class, result);
    assertEquals(baseRevision, storedContract().contract().revision());
  }

  private ContractWriter writer(String author) {
    int[] count = {0};
    return ContractWriter.of(
        store, VirtualTime.startingAt(1_000), author, () -> author + "-" + ++count[0]);
  }

  private StoredContract storedContract() throws Exception {
    @Nullable StoredContract stored = maie.read("kannelkoda");
    assertInstanceOf(StoredContract.class, stored);
    return stored;
  }

  private static Contract contract(String from, String to) {
    try {
      String yaml = Files.readString(Path.of("..", "contracts", "kannelkoda.yaml"));
      return ContractYaml.parse("k.yaml", yaml.replace(from, to));
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
