package org.sageladder.core.store;

/**
 * A value and the revision that wrote it.
 *
 * @param revision store-wide number that grows with every write, at least 1
 * @param value at most one megabyte; callers must not change the array
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, long revision, byte[] value) {}
