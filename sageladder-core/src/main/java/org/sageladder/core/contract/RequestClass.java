package org.sageladder.core.contract;

/** How urgent a service's requests are, most urgent first; shedding begins at the end. */
public enum RequestClass {
  /** Must not be lost or repeated: donations, bids. */
  CRITICAL,
  /** A person waits; a slow answer annoys. */
  INTERACTIVE,
  /** May wait overnight but must finish whole: exports, catalogue pulls. */
  BACKGROUND
}
