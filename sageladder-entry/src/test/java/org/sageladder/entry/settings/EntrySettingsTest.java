package org.sageladder.entry.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sageladder.platform.settings.SettingsException;

class EntrySettingsTest {
  private static final String VALID_YAML =
      """
      vm: tallinn-1-a
      customer: kannelkoda
      zone: tallinn-1
      host: 127.0.0.1
      ports:
        callers: 7101
        inner: 0
        operators: 0
      store:
        uri: http://127.0.0.1:7000
        timeout: 500ms
      vmList:
        uri: http://127.0.0.1:7000
        every: 1s
      seeds: ["127.0.0.1:7201"]
      incarnation:
        source: clock
      logs:
        format: json
        level: debug
      callerLimits:
        workers: 4
      """;

  @Test
  void validSettingsAreReadWithDefaults() throws Exception {
    EntrySettings settings = EntrySettings.parse("entry.yaml", VALID_YAML);

    assertEquals(new EntrySettings.Ports(7101, 0, 0), settings.ports());
    assertEquals(List.of(new EntrySettings.PeerAddress("127.0.0.1", 7201)), settings.seeds());
    assertEquals(EntrySettings.LogFormat.JSON, settings.logs().format());
    assertEquals(16_384, settings.callerLimits().maxHeadBytes());
  }

  static Stream<Arguments> invalidSettings() {
    return Stream.of(
        invalidSetting(
            "unknown key",
            "vmList:",
            "vmlist:",
            "entry.yaml: vmlist: unknown key; did you mean 'vmList'? Allowed here: callerLimits,"
                + " customer, eventCapacity, host, incarnation, innerKeys, logs, ports, seeds,"
                + " store, vm, vmList, zone"),
        invalidSetting(
            "missing key",
            "zone: tallinn-1\n",
            "",
            "entry.yaml: zone: missing; give a name of 1 to 63 lower case letters a-z, digits and"
                + " hyphens inside"),
        invalidSetting(
            "wrong type",
            "workers: 4",
            "workers: four",
            "entry.yaml: callerLimits.workers: 'four' is not allowed; give a whole number from 1"
                + " to 256"),
        invalidSetting(
            "port out of range",
            "callers: 7101",
            "callers: 70000",
            "entry.yaml: ports.callers: '70000' is not allowed; give a whole number from 0 to"
                + " 65535"),
        invalidSetting(
            "clash of ports",
            "operators: 0",
            "operators: 7101",
            "entry.yaml: ports.operators: 7101 is not allowed; give a port that ports.callers does"
                + " not use, or 0"),
        invalidSetting(
            "duration without unit",
            "timeout: 500ms",
            "timeout: 500",
            "entry.yaml: store.timeout: '500' is not allowed; give a duration from 10ms to 30s,"
                + " such as 250ms, 6s or 10m"),
        invalidSetting(
            "host name in place of an IP number",
            "host: 127.0.0.1",
            "host: localhost",
            "entry.yaml: host: 'localhost' is not allowed; give an IP number such as 10.0.0.7"),
        invalidSetting(
            "unknown choice",
            "format: json",
            "format: xml",
            "entry.yaml: logs.format: 'xml' is not allowed; give one of text, json"),
        invalidSetting(
            "seed without port",
            "127.0.0.1:7201",
            "127.0.0.1",
            "entry.yaml: seeds[0]: '127.0.0.1' is not allowed; give an IP number and port such as"
                + " 10.0.0.7:7101"),
        invalidSetting(
            "inner key with a short secret, which must not be shown",
            "seeds:",
            "innerKeys: ['k1:c2hvcnQ=']\nseeds:",
            "entry.yaml: innerKeys: (not shown) is not allowed; give an id of letters and digits, a"
                + " colon and at least 16 bytes in base64"),
        invalidSetting(
            "key given twice",
            "host: 127.0.0.1",
            "host: 127.0.0.1\nhost: 127.0.0.2",
            "entry.yaml: line 5: Duplicate field 'host'"),
        invalidSetting(
            "list in place of keys",
            "store:\n  uri: http://127.0.0.1:7000\n  timeout: 500ms",
            "store: [1]",
            "entry.yaml: store: [1] is not allowed; give keys uri, timeout"),
        invalidSetting(
            "fixed incarnation without number",
            "source: clock",
            "source: fixed",
            "entry.yaml: incarnation.number: missing; give a whole number from 1 to"
                + " 9223372036854775807"));
  }

  @Test
  void innerKeysKeepTheirOrderAndAreNotPrinted() throws SettingsException {
    EntrySettings settings =
        EntrySettings.parse(
            "entry.yaml",
            VALID_YAML
                + "innerKeys: ['k2:c2FnZWxhZGRlci1iZW5jaC1rZXk=',"
                + " 'k1:MDEyMzQ1Njc4OWFiY2RlZg==']\n");
    assertEquals(
        List.of("k2", "k1"),
        settings.innerKeys().stream().map(EntrySettings.InnerKey::id).toList());
    assertEquals("[k2:(secret), k1:(secret)]", settings.innerKeys().toString());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidSettings")
  void invalidSettingIsReportedWithFileKeyValueAndAllowedValues(
      String name, String validText, String invalidText, String message) {
    SettingsException error =
        assertThrows(
            SettingsException.class,
            () -> EntrySettings.parse("entry.yaml", VALID_YAML.replace(validText, invalidText)),
            name);

    assertEquals(message, error.getMessage());
  }

  @Test
  void missingFileIsReported() {
    SettingsException error =
        assertThrows(
            SettingsException.class, () -> EntrySettings.read(Path.of("no-such-file.yaml")));

    assertEquals(
        "no-such-file.yaml: cannot be read (NoSuchFileException); give a file", error.getMessage());
  }

  private static Arguments invalidSetting(
      String name, String validText, String invalidText, String message) {
    return Arguments.of(name, validText, invalidText, message);
  }
}
