package org.sageladder.platform.settings;

import java.util.regex.Pattern;

/** Patterns for the values of several settings, each with its description for error messages. */
public final class SettingPatterns {
  /** Name of a customer, region, zone, service or VM. */
  public static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

  /** Description of {@link #NAME} for error messages. */
  public static final String NAME_ALLOWED =
      "a name of 1 to 63 lower case letters a-z, digits and hyphens inside";

  /** IPv4 address, or IPv6 address without brackets. */
  public static final Pattern IP_ADDRESS =
      Pattern.compile(
          "((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}|(?=.*:)(?!.*:::)[0-9a-fA-F:]{2,39}");

  /** Description of {@link #IP_ADDRESS} for error messages. */
  public static final String IP_ADDRESS_ALLOWED = "an IP number such as 10.0.0.7";

  /** IP address and port. */
  public static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]{2,39}\\]):[1-9]\\d{0,4}");

  /** Description of {@link #ADDRESS} for error messages. */
  public static final String ADDRESS_ALLOWED = "an IP number and port such as 10.0.0.7:7101";

  /** HTTP base URI with an IP address. */
  public static final Pattern HTTP_URI =
      Pattern.compile("http://(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]{2,39}\\]):[1-9]\\d{0,4}/?");

  /** Description of {@link #HTTP_URI} for error messages. */
  public static final String HTTP_URI_ALLOWED = "a URI such as http://10.0.0.1:7000";

  private SettingPatterns() {}
}
