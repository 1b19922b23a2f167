package org.knapweedbank.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Commands that start the roles. */
interface RoleCommands {
    /** Returns the program and the arguments of a role. */
    List<String> command(String role) throws IOException;

    /** Returns the commands of a deployment file, as the platform runs them in its folder. */
    static RoleCommands fromDeployment(Path root) {
        return role -> {
            boolean inRole = false;
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("[")) {
                    inRole = line.equals("[roles." + role + "]");
                } else if (inRole && line.startsWith("run = \"")) {
                    String run = line.substring("run = \"".length(), line.length() - 1);
                    return List.of(run.split(" "));
                }
            }
            throw new IOException("deploy/system.toml has no command for role " + role);
        };
    }

    /** Returns commands that run the roles from the class path of this process. */
    static RoleCommands fromClassPath() {
        return role ->
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.knapweedbank.platform.PlatformMain");
    }
}
