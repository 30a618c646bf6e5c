package org.sageladder.core.spread;

import java.util.List;
import java.util.Map;

/** Messages between two {@link Spreader}s. */
public sealed interface SpreadMessage {
  /** Items that the sender believes the receiver lacks. */
  record Push(List<Item> items, List<DeltaItem> deltas) implements SpreadMessage {
    /** Copies the lists. */
    public Push {
      items = List.copyOf(items);
      deltas = List.copyOf(deltas);
    }
  }

  /**
   * A newer version of an item, sent as a delta.
   *
   * @param baseVersion version that the delta applies to
   * @param payloadHash hash of the complete newer payload, which detects a wrong base
   */
  record DeltaItem(
      ItemKey key, long version, long baseVersion, long payloadHash, PayloadDelta delta) {}

  /** Offers a digest of the sender's repaired items; answered only if the receiver's differs. */
  record DigestOffer(long digest) implements SpreadMessage {}

  /**
   * All versions of repaired items that the sender has.
   *
   * @param isSnapshotRequest true if the sender has just started and requests all items, summaries
   *     included, followed by a {@link SnapshotEnd}
   */
  record Versions(Map<ItemKey, VersionStamp> versions, boolean isSnapshotRequest)
      implements SpreadMessage {
    /** Copies the map. */
    public Versions {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * A version and a short hash of its payload.
   *
   * <p>The hash distinguishes two payloads with the same version, which two relays that both act
   * without a lease can create.
   */
  record VersionStamp(long version, int payloadHash) {}

  /**
   * Ends a snapshot: all items of the sender were sent before this.
   *
   * @param isReady false if the sender is itself still fetching its initial snapshot, so that its
   *     answer proves nothing
   */
  record SnapshotEnd(boolean isReady) implements SpreadMessage {}

  /** Requests complete items. */
  record Pull(List<ItemKey> keys) implements SpreadMessage {
    /** Copies the list. */
    public Pull {
      keys = List.copyOf(keys);
    }
  }
}
