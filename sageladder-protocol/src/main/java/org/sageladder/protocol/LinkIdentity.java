package org.sageladder.protocol;

/** Who this process is towards its peers. */
public record LinkIdentity(String vm, String customer, long incarnation) {}
