package org.sageladder.client;

/** IP address and TCP port of an entry VM. */
record EntryAddress(String host, int port) {
  static EntryAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port > 0 && port <= 65_535) {
        return new EntryAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      throw malformedAddress(text, e);
    }
    throw malformedAddress(text, null);
  }

  private static IllegalArgumentException malformedAddress(String text, Throwable cause) {
    return new IllegalArgumentException(
        "entry VM address \"" + text + "\": expected IP:PORT, such as 127.0.0.1:8080", cause);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
