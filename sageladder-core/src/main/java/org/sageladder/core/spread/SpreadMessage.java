package org.sageladder.core.spread;

import java.util.List;
import java.util.Map;

/** What two spreaders say to each other. */
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
   * A newer version told as a difference.
   *
   * @param baseVersion version that the difference starts from
   * @param payloadHash hash of the whole newer payload, so that a wrong base is noticed
   */
  record DeltaItem(
      ItemKey key, long version, long baseVersion, long payloadHash, PayloadDelta delta) {}

  /** Asks whether the receiver has the same repaired items; answered only where it has not. */
  record DigestOffer(long digest) implements SpreadMessage {}

  /**
   * All repaired versions that the sender has.
   *
   * @param isSnapshotRequest true where the sender is fresh and wants everything, summaries too,
   *     ended by a {@link SnapshotEnd}
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
   * <p>The hash tells apart two payloads under one version, which two relays that both act without
   * a lease can make.
   */
  record VersionStamp(long version, int payloadHash) {}

  /**
   * Everything that the sender has was sent before this.
   *
   * @param isReady false where the sender is itself still fetching its first snapshot, so that its
   *     answer proves nothing
   */
  record SnapshotEnd(boolean isReady) implements SpreadMessage {}

  /** Asks for whole items. */
  record Pull(List<ItemKey> keys) implements SpreadMessage {
    /** Copies the list. */
    public Pull {
      keys = List.copyOf(keys);
    }
  }
}
