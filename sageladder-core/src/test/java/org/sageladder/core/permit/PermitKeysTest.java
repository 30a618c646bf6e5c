package org.sageladder.core.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;

/** Tests creating, sharing and rotating the MAC keys through the platform's store. */
class PermitKeysTest {
  private static final Duration PERIOD = Duration.ofHours(1);
  private static final Permit PERMIT =
      new Permit("a", 1, 1, 99_000, "kannelkoda", "donations", "", "");

  private final SingleKeyStore store = new SingleKeyStore();
  private final PermitKeys first = keys();
  private final PermitKeys second = keys();

  private PermitKeys keys() {
    return PermitKeys.of(store, "kannelkoda", PERIOD, new SecureRandom());
  }

  private static void assertOpens(PermitKeys by, String text) {
    assertInstanceOf(OpenedPermit.Valid.class, PermitCodec.of(by::ring).open(text));
  }

  private static String sealedBy(PermitKeys keys) {
    return PermitCodec.of(keys::ring).seal(PERMIT);
  }

  @Test
  void twoEntryVmsOpenEachOthersPermits() throws Exception {
    first.refresh(0);
    second.refresh(0);
    assertOpens(second, sealedBy(first));
    assertOpens(first, sealedBy(second));
  }

  /**
   * Guards against dropping the old key too early: a permit signed just before a rotation and used
   * just after it would be refused at every entry VM.
   */
  @Test
  void permitSealedBeforeRotationOpensAfterIt() throws Exception {
    first.refresh(0);
    String before = sealedBy(first);
    second.refresh(PERIOD.toMillis());
    first.refresh(PERIOD.toMillis());
    assertOpens(first, before);
    assertOpens(second, before);
    assertOpens(first, sealedBy(second));
  }

  /**
   * Guards against signing with a new key before all entry VMs have read it; those that have not
   * would refuse the permits.
   */
  @Test
  void newKeySignsOnlyAfterPropagationDelay() throws Exception {
    first.refresh(0);
    second.refresh(0);
    long rotation = PERIOD.toMillis();
    first.refresh(rotation);
    assertOpens(second, sealedBy(first));
    second.refresh(rotation + 1);
    first.refresh(rotation + first.propagationDelay().toMillis());
    assertOpens(second, sealedBy(first));
  }

  /**
   * Guards against overwriting a new key: the store applies the write and its answer is lost. If
   * another key replaced the first one, entry VMs that had read the first would refuse permits
   * signed with the second.
   */
  @Test
  void writeWithLostAnswerIsReadBack() throws Exception {
    store.loseNextAnswer = true;
    first.refresh(0);
    second.refresh(0);
    assertEquals(1, store.revision);
    assertOpens(second, sealedBy(first));
  }

  /**
   * An entry VM that starts while the store is down must sign permits that it can open itself.
   * Others must forward them to it instead of treating them as invalid.
   */
  @Test
  void permitsOfLocalKeyOpenOnlyAtTheirIssuerWhileStoreIsDown() throws Exception {
    second.refresh(0);
    store.isDown = true;
    assertThrows(StoreException.Unavailable.class, () -> first.refresh(0));
    String text = sealedBy(first);
    assertOpens(first, text);
    assertInstanceOf(OpenedPermit.UnknownKey.class, PermitCodec.of(second::ring).open(text));
    store.isDown = false;
    first.refresh(0);
    assertOpens(first, text);
  }

  /** A store with a single key and compare-and-set, which is all that these tests need. */
  private static final class SingleKeyStore implements Store {
    boolean isDown;
    boolean loseNextAnswer;
    long revision;
    byte[] value = new byte[0];

    @Override
    public Optional<StoredValue> read(String key) throws StoreException {
      if (isDown) {
        throw new StoreException.Unavailable("down", new java.io.IOException("refused"));
      }
      return revision == 0
          ? Optional.empty()
          : Optional.of(new StoredValue(key, revision, value.clone()));
    }

    @Override
    public WriteResult compareAndSet(
        String key, long expectedRevision, byte[] newValue, @Nullable Long lease)
        throws StoreException {
      if (expectedRevision != revision) {
        return new WriteResult.Conflict(read(key).orElse(null));
      }
      revision++;
      value = newValue.clone();
      if (loseNextAnswer) {
        loseNextAnswer = false;
        throw new StoreException.OutcomeUnknown("lost", new java.io.IOException("reset"));
      }
      return new WriteResult.Written(revision);
    }

    @Override
    public List<StoredValue> list(String prefix) {
      throw new UnsupportedOperationException();
    }

    @Override
    public WriteResult compareAndDelete(String key, long expectedRevision) {
      throw new UnsupportedOperationException();
    }

    @Override
    public long grantLease(Duration timeToLive) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean keepAlive(long lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void revokeLease(long lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public WatchBatch watch(String prefix, long afterRevision, Duration wait) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
  }
}
