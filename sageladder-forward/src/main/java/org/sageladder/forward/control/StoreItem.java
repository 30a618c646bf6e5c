package org.sageladder.forward.control;

import org.jspecify.annotations.Nullable;

/**
 * A version of an item of the store, or its removal.
 *
 * @param revision the store's revision of this change; grows with each change of any item
 * @param content its content; null if the item was removed
 */
public record StoreItem(String key, long revision, @Nullable ItemContent content) {}
