package org.sageladder.forward.control;

import org.jspecify.annotations.Nullable;

/**
 * An item of the store, or its end.
 *
 * @param revision the store's revision of this change; grows with each change of any item
 * @param content what it says; null where it was removed
 */
public record StoreItem(String key, long revision, @Nullable ItemContent content) {}
