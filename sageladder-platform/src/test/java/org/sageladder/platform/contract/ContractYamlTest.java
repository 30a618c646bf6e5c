package org.sageladder.platform.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.settings.SettingsException;

class ContractYamlTest {
  private static final Path CONTRACTS = Path.of("..", "contracts");

  @ParameterizedTest
  @ValueSource(strings = {"kannelkoda.yaml", "kalnins-dauge.yaml"})
  void formattedContractIsParsedToAnEqualContract(String file) throws Exception {
    Contract contract = parsed(file);

    assertEquals(contract, ContractYaml.parse("formatted", ContractYaml.format(contract)));
  }

  @Test
  void parsesTheSizesOfKannelkoda() throws Exception {
    Contract contract = parsed("kannelkoda.yaml");

    assertEquals(6, contract.zones().size());
    assertEquals(55, contract.delays().betweenRegionsMillis());
    assertEquals(14, contract.service("export-audio").orElseThrow().targets());
    assertEquals(330, contract.service("lyric-search").orElseThrow().connectionsPerTarget());
  }

  @Test
  void storedContractTakesItsRevisionFromTheStore() throws Exception {
    StoredContract written = new StoredContract("c-1", "maie", parsed("kalnins-dauge.yaml"));

    StoredContract read =
        StoredContract.fromStored(
            new StoredValue("contracts/kalnins-dauge", 41, written.toBytes()));

    assertEquals(new StoredContract("c-1", "maie", written.contract().atRevision(41)), read);
  }

  @Test
  void errorNamesThePathOfAMisspeltKey() throws Exception {
    String yaml = text("kannelkoda.yaml").replaceFirst("slotsPerTarget", "slotPerTarget");

    SettingsException error =
        assertThrows(SettingsException.class, () -> ContractYaml.parse("k.yaml", yaml));

    assertEquals(
        "k.yaml: services[0].slotPerTarget: unknown key; did you mean 'slotsPerTarget'?",
        error.getMessage().replaceFirst(" Allowed here.*", ""));
  }

  private static Contract parsed(String file) throws Exception {
    return ContractYaml.parse(file, text(file));
  }

  private static String text(String file) throws Exception {
    return Files.readString(CONTRACTS.resolve(file));
  }
}
