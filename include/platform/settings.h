#ifndef PLATFORM_SETTINGS_H
#define PLATFORM_SETTINGS_H

/** Returns the path of the settings file that the platform names, or NULL. */
const char *platform_settings_path(void);

#endif
