package org.sageladder.protocol;

/** The identity that this process presents to its peers. */
public record LinkIdentity(String vm, String customer, long incarnation) {}
