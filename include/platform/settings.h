#ifndef PLATFORM_SETTINGS_H
#define PLATFORM_SETTINGS_H

/** Returns the path of the settings file from the environment, or NULL. */
const char *platform_settings_path(void);

#endif
