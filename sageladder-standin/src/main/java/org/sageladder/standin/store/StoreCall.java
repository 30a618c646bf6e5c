package org.sageladder.standin.store;

import org.jspecify.annotations.Nullable;
import org.sageladder.platform.store.StoreMessages;

/** Kinds of calls that the store counts. */
enum StoreCall {
  READ("read", StoreMessages.VALUE, false),
  LIST("list", StoreMessages.VALUES, false),
  WATCH("watch", StoreMessages.WATCH, false),
  VMS("vms", StoreMessages.VMS, false),
  COMPARE_AND_SET("compareAndSet", StoreMessages.COMPARE_AND_SET, true),
  COMPARE_AND_DELETE("compareAndDelete", StoreMessages.COMPARE_AND_DELETE, true),
  LEASE_GRANT("leaseGrant", StoreMessages.LEASE_GRANT, true),
  LEASE_KEEP_ALIVE("leaseKeepAlive", StoreMessages.LEASE_KEEP_ALIVE, true),
  LEASE_REVOKE("leaseRevoke", StoreMessages.LEASE_REVOKE, true);

  private final String label;
  private final String path;
  private final boolean write;

  StoreCall(String label, String path, boolean write) {
    this.label = label;
    this.path = path;
    this.write = write;
  }

  String label() {
    return label;
  }

  boolean isWrite() {
    return write;
  }

  static @Nullable StoreCall ofPath(String path) {
    for (StoreCall call : values()) {
      if (call.path.equals(path)) {
        return call;
      }
    }
    return null;
  }
}
