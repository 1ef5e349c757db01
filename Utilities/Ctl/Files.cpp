// Implements Files.h.
#include <Ctl/Files.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Sagecrank {

namespace {

namespace fs = std::filesystem;

Result<SourceFile> readFile(const std::string &name)
{
    const std::ifstream stream(name, std::ios::binary);
    if (!stream || fs::is_directory(name))
        return makeError(ErrorKind::NotFound, "read file", name, "cannot be opened");
    std::ostringstream text;
    text << stream.rdbuf();
    return SourceFile{name, text.str()};
}

Result<std::vector<std::string>> listSourceFiles(const std::string &path)
{
    std::error_code error;
    if (!fs::is_directory(path, error))
        return std::vector<std::string>{path};
    std::vector<std::string> names;
    for (const fs::directory_entry &entry : fs::directory_iterator(path, error)) {
        if (entry.path().extension() == ".toml")
            names.push_back(entry.path().string());
    }
    if (error)
        return makeError(ErrorKind::NotFound, "read folder", path, error.message());
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

Result<LocalFiles> readLocalFiles(const Arguments &arguments)
{
    LocalFiles files;
    files.base = TRY(readFile(arguments.base));
    for (const std::string &path : arguments.overlays) {
        for (const std::string &name : TRY(listSourceFiles(path)))
            files.overlays.push_back(TRY(readFile(name)));
    }
    return files;
}

} // namespace Sagecrank
