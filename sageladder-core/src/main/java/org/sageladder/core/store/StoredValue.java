package org.sageladder.core.store;

/**
 * A value and the revision that wrote it.
 *
 * @param revision store-wide number that increases with every write, at least 1
 * @param value at most one megabyte; callers must not modify the array
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, long revision, byte[] value) {}
