package org.sageladder.core.steering;

import java.util.Arrays;
import java.util.List;
import org.sageladder.core.contract.Contract;

/** The region of each block of clients, stored as one byte per block. */
final class RegionIndex {
  private static final int MAX_BLOCKS = 1 << 24;

  private final List<Contract.ClientBlocks> ranges;
  private final List<Contract.Region> regions;
  private final byte[] regionOfBlock;

  private RegionIndex(
      List<Contract.ClientBlocks> ranges, List<Contract.Region> regions, byte[] regionOfBlock) {
    this.ranges = ranges;
    this.regions = regions;
    this.regionOfBlock = regionOfBlock;
  }

  /**
   * Creates the index of {@code contract}. If several ranges contain a block, the first is used.
   */
  static RegionIndex of(Contract contract) {
    int last = -1;
    for (Contract.ClientBlocks range : contract.clientBlocks()) {
      last = Math.max(last, Math.min(range.last(), MAX_BLOCKS - 1));
    }
    byte[] index = new byte[last + 1];
    Arrays.fill(index, (byte) -1);
    List<String> names = contract.regions().stream().map(Contract.Region::name).toList();
    for (Contract.ClientBlocks range : contract.clientBlocks()) {
      byte region = (byte) names.indexOf(range.region());
      for (int block = Math.max(0, range.first()); block <= Math.min(range.last(), last); block++) {
        if (index[block] < 0) {
          index[block] = region;
        }
      }
    }
    return new RegionIndex(contract.clientBlocks(), contract.regions(), index);
  }

  boolean matches(Contract contract) {
    return ranges.equals(contract.clientBlocks()) && regions.equals(contract.regions());
  }

  /** Returns the index of the block's region in the contract, or -1. */
  int of(int block) {
    return block >= 0 && block < regionOfBlock.length ? regionOfBlock[block] : -1;
  }
}
